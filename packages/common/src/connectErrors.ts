const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

/**
 * Returns whether an error proves that no connection was opened, and hence that no byte of the
 * request was sent. Returns false for the reset or close of an open connection.
 *
 * @example
 * isConnectError(Object.assign(new Error('refused'), { syscall: 'connect' })); // true
 */
export const isConnectError = (error: unknown): boolean => {
  if (!(error instanceof Error)) return false;
  // Node.js reports the failures of all addresses of one host together.
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(isConnectError);
  }
  if ('code' in error && error.code === CONNECT_TIMEOUT_CODE) return true;
  return 'syscall' in error && error.syscall === 'connect';
};
