import type { RequestHead } from './types.js';

/** Lists the ids of the prompt parts that other requests may have too; the last part is the request's own. */
export const listSharedPartIds = ({ promptParts }: RequestHead): string[] =>
  promptParts.slice(0, -1).map(({ id }) => id);
