import js from '@eslint/js';
import { configs, plugins, rules } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Forbids globals and modules through which the core could read the time or perform I/O. */
const coreRestrictions = {
  'no-restricted-globals': [
    'error',
    'Date',
    'process',
    'setTimeout',
    'setInterval',
    'setImmediate',
    'queueMicrotask',
    'fetch',
    'performance',
    'console',
    'crypto',
    'Buffer',
  ],
  'no-restricted-properties': [
    'error',
    { object: 'Math', property: 'random', message: 'Use the generator in the state.' },
  ],
  'no-restricted-imports': [
    'error',
    {
      patterns: [
        { group: ['node:*'], message: 'The core performs no input or output.' },
        { group: ['**/hosts/*', '**/daemon/*', '**/cli/*'], message: 'The core imports no host.' },
      ],
    },
  ],
};

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**', 'src/protocol/generated/**'] },
  js.configs.recommended,
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.node,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  rules.typescript.typescriptEslintStrict,
  prettier,
  {
    rules: {
      // As in the TypeScript compiler, exports are named and callers are declared before the functions
      // that they call.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: true },
      ],
      // Sub-reducers mutate the part of the state that they own (see docs/DESIGN.md).
      'no-param-reassign': ['error', { props: false }],
      // Allows `for...of`: Node.js 20 supports iterators natively, without transpilation.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      'no-bitwise': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  { files: ['src/core/**/*.ts', 'src/routing/**/*.ts'], rules: coreRestrictions },
  {
    files: ['test/**/*.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off', 'no-unused-expressions': 'off' },
  },
  {
    files: [
      'scripts/**',
      'eslint.config.js',
      'platform/main.ts',
      'src/cli/**',
      'src/bench/**',
      'src/checker/**',
    ],
    rules: {
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
      // The compiler preserves the hashbang of the executable.
      'n/hashbang': 'off',
      'no-console': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'no-await-in-loop': 'off',
    },
  },
];
