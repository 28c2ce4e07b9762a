import { computeSha256Hex, type AttemptId } from '@lovagearch/common';
import type { ObjectClient } from '@lovagearch/platform-client';
import { MAX_HEADER_BYTES, MAX_INLINE_BODY_BYTES, type StoredResponse } from '@lovagearch/runs';
import { err, ok, type Result } from 'neverthrow';
import type { RecordedResponse } from './types.js';

/** Headers that apply to one connection or transfer only and are not replayed to later callers. */
const CONNECTION_SPECIFIC_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'date',
  'keep-alive',
  'proxy-authenticate',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

export interface StoredResponseError {
  readonly type: 'object_unavailable';
  readonly message: string;
}

/** Selects the headers of a response to record, up to 4 KB: those that describe its content. */
export const selectContentHeaders = (
  headers: Readonly<Record<string, string>>,
): Record<string, string> => {
  const selected: Record<string, string> = {};
  let bytes = 0;
  for (const [name, value] of Object.entries(headers)) {
    if (CONNECTION_SPECIFIC_HEADERS.has(name.toLowerCase())) continue;
    bytes += Buffer.byteLength(name) + Buffer.byteLength(value);
    if (bytes > MAX_HEADER_BYTES) break;
    selected[name] = value;
  }
  return selected;
};

/** Stores a body over 16 KB as an object named after the attempt; a smaller one stays inline. */
export const writeResponse = async (
  objects: ObjectClient,
  attempt: AttemptId,
  { status, headers, body }: RecordedResponse,
): Promise<Result<StoredResponse, StoredResponseError>> => {
  const contentHeaders = selectContentHeaders(headers);
  if (body.length <= MAX_INLINE_BODY_BYTES) {
    return ok({ status, headers: contentHeaders, body: { type: 'inline', bytes: body } });
  }
  const name = `runs/${computeSha256Hex(attempt)}`;
  const written = await objects.write(name, body);
  if (written.isErr()) return err({ type: 'object_unavailable', message: written.error.type });
  return ok({
    status,
    headers: contentHeaders,
    body: { type: 'object', name, length: body.length },
  });
};

/** Restores a recorded response; its body is read from the object store if it was stored there. */
export const readResponse = async (
  objects: ObjectClient,
  { status, headers, body }: StoredResponse,
): Promise<Result<RecordedResponse, StoredResponseError>> => {
  if (body.type === 'inline') return ok({ status, headers, body: body.bytes });
  const read = await objects.read(body.name);
  if (read.isErr()) return err({ type: 'object_unavailable', message: read.error.type });
  if (read.value.length === body.length) return ok({ status, headers, body: read.value });
  return err({ type: 'object_unavailable', message: 'the stored body has an unexpected length' });
};
