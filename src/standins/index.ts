/** Stand-ins for what primroseswitch talks to: model engines, plain services and the platform. */
export * from './content.js';
export * from './engine.js';
export * from './platform.js';
export * from './service.js';
export * from './settings.js';
