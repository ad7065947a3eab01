/** Regenerates the codec of the peer protocol. Requires `protoc` (Debian: protobuf-compiler). */
import { execFileSync } from 'node:child_process';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const protocol = join(root, 'src', 'protocol');
const options = [
  'esModuleInterop=true',
  'importSuffix=.js',
  'oneof=unions-value',
  'useReadonlyTypes=true',
  'forceLong=number',
  'outputServices=grpc-js',
  'outputJsonMethods=false',
  'outputPartialMethods=false',
  'env=both',
];
execFileSync(
  'protoc',
  [
    `--plugin=protoc-gen-ts_proto=${join(root, 'node_modules', '.bin', 'protoc-gen-ts_proto')}`,
    `--ts_proto_out=${join(protocol, 'generated')}`,
    `--ts_proto_opt=${options.join(',')}`,
    `--proto_path=${protocol}`,
    'peer.proto',
    'peerService.proto',
  ],
  { stdio: 'inherit' },
);
