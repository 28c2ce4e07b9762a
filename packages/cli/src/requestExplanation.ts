import * as z from 'zod';

/** Time around a request in which changes of its node and endpoints are shown, in milliseconds. */
const CONTEXT_BEFORE_MS = 5_000;
const CONTEXT_AFTER_MS = 500;
/** Lines of a busy node are many; the newest ones of the context are shown. */
const MAX_CONTEXT_LINES = 40;

const lineSchema = z.looseObject({
  time: z.number(),
  node: z.string().optional(),
  event: z.string(),
  request: z.string().optional(),
  endpoint: z.string().optional(),
  endpoints: z.array(z.string()).optional(),
  totalMs: z.number().optional(),
});

/** One line of a gateway's log. */
export type LogLine = z.infer<typeof lineSchema>;

/** What a log tells of one request, in the order of time. */
export interface RequestExplanation {
  /** Lines that name the request. */
  readonly steps: readonly LogLine[];
  /** Changes of belief on its nodes, or about its endpoints, shortly before and during it. */
  readonly context: readonly LogLine[];
}

/** Parses one line of a log; undefined for text that a gateway did not write. */
export const parseLogLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // Collected logs hold lines of other programs as well.
    return undefined;
  }
};

const listEndpoints = (steps: readonly LogLine[]): Set<string> =>
  new Set(
    steps.flatMap(({ endpoint, endpoints = [] }) => [
      ...endpoints,
      ...(endpoint === undefined ? [] : [endpoint]),
    ]),
  );

/**
 * Collects what the logs of any number of nodes tell of one request.
 *
 * @param lines parsed lines in any order
 * @returns no steps if no line names the request; ordinary lines may have been left out under load
 * @example
 * const { steps } = explainRequest(lines, '09fbfa1585056b1e');
 */
export const explainRequest = (
  lines: readonly LogLine[],
  requestId: string,
): RequestExplanation => {
  const byTime = (a: LogLine, b: LogLine) => a.time - b.time;
  const steps = lines.filter(({ request }) => request === requestId).sort(byTime);
  const [first] = steps;
  const last = steps.at(-1);
  if (first === undefined || last === undefined) return { steps: [], context: [] };
  const fromMs = Math.min(first.time, last.time - (last.totalMs ?? 0)) - CONTEXT_BEFORE_MS;
  const nodes = new Set(steps.map(({ node }) => node));
  const endpoints = listEndpoints(steps);
  const context = lines
    .filter(({ request, time, node, endpoint }) => {
      if (request !== undefined || time < fromMs || time > last.time + CONTEXT_AFTER_MS) {
        return false;
      }
      return endpoint === undefined ? nodes.has(node) : endpoints.has(endpoint);
    })
    .sort(byTime)
    .slice(-MAX_CONTEXT_LINES);
  return { steps, context };
};
