import type { EndpointLife } from '@lovagearch/exchange';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Latency histogram buckets, in milliseconds: from a cached read up to the longest stream. */
const LATENCY_BUCKETS_MS = [5, 10, 20, 40, 80, 160, 320, 640, 1_280, 2_560, 5_120, 15_000];

/** Prometheus metrics of the gateway process. */
export class GatewayMetrics {
  private readonly registry = new Registry();

  private readonly requests = new Counter({
    name: 'lovagearch_requests_total',
    help: 'Requests by route and outcome',
    labelNames: ['route', 'outcome'],
    registers: [this.registry],
  });

  private readonly attempts = new Counter({
    name: 'lovagearch_attempts_total',
    help: 'Sends to endpoints by service and result',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });

  private readonly responseEnds = new Counter({
    name: 'lovagearch_response_ends_total',
    help: 'Responses of endpoints by service and what showed their end',
    labelNames: ['service', 'end'],
    registers: [this.registry],
  });

  private readonly connectionEnds = new Counter({
    name: 'lovagearch_connection_ends_total',
    help: 'Responses that ended with their connection, by service and what is known of the endpoint',
    labelNames: ['service', 'endpoint'],
    registers: [this.registry],
  });

  private readonly droppedLines = new Counter({
    name: 'lovagearch_log_lines_dropped_total',
    help: 'Log lines that were not written',
    registers: [this.registry],
  });

  private readonly firstByte = new Histogram({
    name: 'lovagearch_first_byte_ms',
    help: 'Time to the first byte of an answer, by route',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly duration = new Histogram({
    name: 'lovagearch_request_ms',
    help: 'Time to the end of a request, by client account',
    labelNames: ['account'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly eventLoopDelay = new Histogram({
    name: 'lovagearch_event_loop_delay_ms',
    help: 'Delay of a periodic timer; closes of callers are noticed at least this late',
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });

  private readonly gauges = new Gauge({
    name: 'lovagearch_state',
    help: 'Current sizes and versions, by name',
    labelNames: ['name'],
    registers: [this.registry],
  });

  private readonly placementRestrictions = new Counter({
    name: 'lovagearch_placement_restrictions_total',
    help: 'Requests that were kept from endpoints, by reason: region, evacuated or cold',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  static create(): GatewayMetrics {
    return new GatewayMetrics();
  }

  recordRequest(route: string, account: string, outcome: string, totalMs: number): void {
    this.requests.inc({ route, outcome });
    this.duration.observe({ account }, totalMs);
  }

  recordFirstByte(route: string, firstByteMs: number): void {
    this.firstByte.observe({ route }, firstByteMs);
  }

  recordAttempt(service: string, result: string): void {
    this.attempts.inc({ service, result });
  }

  /** @param end `framing` for a length or chunks, `connection` if the response ended with its connection */
  recordResponseEnd(service: string, end: 'connection' | 'framing'): void {
    this.responseEnds.inc({ service, end });
  }

  recordConnectionEnd(service: string, endpoint: EndpointLife): void {
    this.connectionEnds.inc({ service, endpoint });
  }

  recordPlacementRestrictions(restrictions: Readonly<Record<string, number>>): void {
    for (const reason of Object.keys(restrictions)) this.placementRestrictions.inc({ reason });
  }

  recordEventLoopDelay(delayMs: number): void {
    this.eventLoopDelay.observe(delayMs);
  }

  recordDroppedLines(lines: number): void {
    this.droppedLines.inc(lines);
  }

  setGauge(name: string, value: number): void {
    this.gauges.set({ name }, value);
  }

  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.registry.metrics();
  }
}
