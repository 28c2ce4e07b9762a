/**
 * Test only: the fault proxy, the demo, the proofs and the benchmarks.
 */
export { FaultProxy, type FaultMode } from './faultProxy.js';
