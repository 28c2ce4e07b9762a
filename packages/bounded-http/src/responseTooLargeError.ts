/** The response is larger than the limit of its call. */
export class ResponseTooLargeError extends Error {
  override readonly name = 'ResponseTooLargeError';

  readonly code = 'response_too_large';
}
