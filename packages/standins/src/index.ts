/**
 * Test only: stand-ins of the platform, the model engine, the store VM and plain services, and the
 * means to start them as processes of a test. No product package imports it; only tests do.
 */
export * from './control.js';
export * from './expectedText.js';
export * from './kvSegment.js';
export * from './results.js';
export * from './startProcess.js';
