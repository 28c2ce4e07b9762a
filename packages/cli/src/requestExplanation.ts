import * as z from 'zod';

/** Window before and after a request in which state changes of its nodes and endpoints are shown. */
const CONTEXT_BEFORE_MS = 5_000;
const CONTEXT_AFTER_MS = 500;
/** A busy node logs many events, so only the newest ones of the context are shown. */
const MAX_CONTEXT_EVENTS = 40;

const logEventSchema = z.looseObject({
  time: z.number(),
  node: z.string().optional(),
  event: z.string(),
  request: z.string().optional(),
  endpoint: z.string().optional(),
  endpoints: z.array(z.string()).optional(),
  totalMs: z.number().optional(),
});

/** An event from a gateway's log. */
export type LogEvent = z.infer<typeof logEventSchema>;

/** Log events that explain one request, in chronological order. */
export interface RequestExplanation {
  /** Events with the ID of the request. */
  readonly steps: readonly LogEvent[];
  /** State changes on its nodes or of its endpoints, from shortly before to shortly after it. */
  readonly context: readonly LogEvent[];
}

/** Parses one line of a log; returns undefined for lines that are not gateway events. */
export const parseLogLine = (text: string): LogEvent | undefined => {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = logEventSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // Collected logs may contain lines of other programs.
    return undefined;
  }
};

const listEndpointIds = (steps: readonly LogEvent[]): Set<string> =>
  new Set(
    steps.flatMap(({ endpoint, endpoints = [] }) => [
      ...endpoints,
      ...(endpoint === undefined ? [] : [endpoint]),
    ]),
  );

/**
 * Collects the events of one request and related state changes from the logs of any number of nodes.
 *
 * @param lines parsed events in any order
 * @returns empty lists if no event has the ID of the request; gateways may drop ordinary log lines
 *   under load
 * @example
 * const { steps } = explainRequest(lines, '09fbfa1585056b1e');
 */
export const explainRequest = (
  lines: readonly LogEvent[],
  requestId: string,
): RequestExplanation => {
  const compareTime = (a: LogEvent, b: LogEvent) => a.time - b.time;
  const steps = lines.filter(({ request }) => request === requestId).sort(compareTime);
  const [first] = steps;
  const last = steps.at(-1);
  if (first === undefined || last === undefined) return { steps: [], context: [] };
  const fromMs = Math.min(first.time, last.time - (last.totalMs ?? 0)) - CONTEXT_BEFORE_MS;
  const nodes = new Set(steps.map(({ node }) => node));
  const endpoints = listEndpointIds(steps);
  const context = lines
    .filter(({ request, time, node, endpoint }) => {
      if (request !== undefined || time < fromMs || time > last.time + CONTEXT_AFTER_MS) {
        return false;
      }
      return endpoint === undefined ? nodes.has(node) : endpoints.has(endpoint);
    })
    .sort(compareTime)
    .slice(-MAX_CONTEXT_EVENTS);
  return { steps, context };
};
