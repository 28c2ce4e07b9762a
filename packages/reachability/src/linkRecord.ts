import {
  CONFIRMING_FAILURES,
  CONFIRMING_TIMEOUTS_OF_LIVE_LINK,
  GROUP_SILENCE_MS,
  HEARD_MARGIN_MS,
  HEARD_MEMORY_MS,
  LONE_SILENCE_MS,
  MAX_REQUIRED_SUCCESSES,
  SEPARATE_ATTEMPTS_MS,
  SUSPICION_SPREAD_MS,
  UNSTABLE_WINDOW_MS,
} from './constants.js';
import type { GroupLoss } from './groupLoss.js';
import type { ConnectFailureCause, LinkState } from './types.js';

/** Failed attempts to open a connection, without a successful one in between. */
interface FailedAttempts {
  readonly cause: ConnectFailureCause;
  /** Clock reading at the start of the first one. */
  readonly beganAtMs: number;
  readonly lastBeganAtMs: number;
  /** Number of attempts that count separately. */
  readonly count: number;
}

const REACHABLE: LinkState = { type: 'reachable' };

/** Evidence about the link to one endpoint. */
export class LinkRecord {
  state: LinkState = REACHABLE;

  bytesAtMs = Number.NEGATIVE_INFINITY;

  connectedAtMs = Number.NEGATIVE_INFINITY;

  failures: FailedAttempts | undefined;

  /** Set if the endpoint is out of reach together with others. */
  groupLoss: GroupLoss | undefined;

  /** Clock reading since which requests wait without a byte from the endpoint. */
  waitingSinceMs: number | undefined;

  /** Clock reading at the last probe that verifies a suspicion, and whether it succeeded. */
  verifiedAtMs = Number.NEGATIVE_INFINITY;

  /** Clock reading since which peers hear the endpoint although attempts here fail. */
  private heardSinceMs: number | undefined;

  private outstanding = 0;

  /** Successful attempts in a row since the link was lost. */
  private successes = 0;

  /** Number of times that the link was lost again soon. */
  private relapses = 0;

  private regainedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(readonly service: string) {}

  static create(service: string): LinkRecord {
    return new LinkRecord(service);
  }

  /** Clock reading of the last sign of life that arrived over the link. */
  get heardAtMs(): number {
    return Math.max(this.bytesAtMs, this.connectedAtMs);
  }

  /** Whether the record differs from that of an endpoint that was never used. */
  get isInUse(): boolean {
    return this.outstanding > 0 || this.failures !== undefined || this.state.type !== 'reachable';
  }

  recordSent(atMs: number): void {
    this.outstanding += 1;
    this.waitingSinceMs ??= atMs;
  }

  recordSettled(): void {
    this.outstanding = Math.max(0, this.outstanding - 1);
    if (this.outstanding === 0) this.waitingSinceMs = undefined;
  }

  recordBytes(atMs: number): void {
    this.bytesAtMs = atMs;
    if (this.waitingSinceMs !== undefined) this.waitingSinceMs = atMs;
    if (this.groupLoss === undefined) return;
    // Bytes refute an inference, and say nothing about new connections.
    if (this.failures === undefined) this.recordSuccess(atMs);
    else this.groupLoss = undefined;
  }

  recordConnected(atMs: number): void {
    this.connectedAtMs = atMs;
    this.recordSuccess(atMs);
  }

  recordFailure(cause: ConnectFailureCause, beganAtMs: number): void {
    // The later attempt has shown that connections can be opened.
    if (beganAtMs < this.connectedAtMs) return;
    this.successes = 0;
    const { failures } = this;
    if (failures === undefined) {
      this.failures = { cause, beganAtMs, lastBeganAtMs: beganAtMs, count: 1 };
      return;
    }
    if (beganAtMs < failures.lastBeganAtMs + SEPARATE_ATTEMPTS_MS) return;
    this.failures = {
      cause,
      beganAtMs: failures.beganAtMs,
      lastBeganAtMs: beganAtMs,
      count: failures.count + 1,
    };
  }

  /** Whether requests have waited here for a time without a byte. */
  isSilent(nowMs: number, forMs = GROUP_SILENCE_MS): boolean {
    return this.waitingSinceMs !== undefined && nowMs - this.waitingSinceMs >= forMs;
  }

  /** Decides the state by all evidence. */
  decideState(heardElsewhereAtMs: number, nowMs: number): LinkState {
    const { failures, groupLoss } = this;
    if (failures === undefined && groupLoss === undefined) return REACHABLE;
    if (this.state.type === 'reachable' && groupLoss === undefined && !this.isConfirmed)
      return REACHABLE;
    const sinceMs = failures?.beganAtMs ?? groupLoss?.sinceMs ?? nowMs;
    const cause = failures?.cause ?? 'silence';
    if (this.bytesAtMs > sinceMs && !this.isSilent(nowMs, LONE_SILENCE_MS))
      return { type: 'refusing', cause, sinceMs };
    const isLost =
      groupLoss?.isHeardElsewhere === true ||
      this.isContradicted(sinceMs, heardElsewhereAtMs, nowMs);
    return { type: isLost ? 'lost' : 'unanswered', cause, sinceMs };
  }

  /** Whether peers hear the endpoint while attempts here fail. */
  private isContradicted(sinceMs: number, heardElsewhereAtMs: number, nowMs: number): boolean {
    const isHeard =
      heardElsewhereAtMs > sinceMs + HEARD_MARGIN_MS &&
      heardElsewhereAtMs > nowMs - HEARD_MEMORY_MS;
    if (!isHeard) {
      this.heardSinceMs = undefined;
      return false;
    }
    this.heardSinceMs ??= heardElsewhereAtMs;
    // One that has just come back is heard by peers before the next attempt here.
    return (
      this.heardSinceMs - sinceMs < SUSPICION_SPREAD_MS ||
      (this.failures !== undefined && this.failures.lastBeganAtMs > this.heardSinceMs)
    );
  }

  /** Changes the state; returns the former one, or undefined if its type is the same. */
  changeState(state: LinkState, nowMs: number): LinkState | undefined {
    const former = this.state;
    if (former.type === state.type) return undefined;
    this.state = state;
    if (state.type === 'reachable') this.regainedAtMs = nowMs;
    else if (former.type === 'reachable') {
      this.successes = 0;
      this.relapses = nowMs - this.regainedAtMs < UNSTABLE_WINDOW_MS ? this.relapses + 1 : 0;
    }
    return former;
  }

  /** Whether more than one piece of evidence shows that connections fail. */
  private get isConfirmed(): boolean {
    const { failures } = this;
    if (failures === undefined) return false;
    // A single attempt times out if its first packet is lost, while a long call waits for its response.
    const isSingleTimeout = failures.cause === 'timeout' && failures.count === 1;
    const silenceMs = isSingleTimeout ? LONE_SILENCE_MS : GROUP_SILENCE_MS;
    if (this.isSilent(failures.lastBeganAtMs, silenceMs)) return true;
    // Packets are lost on links that carry others.
    const isCarryingBytes = failures.cause === 'timeout' && this.bytesAtMs > failures.beganAtMs;
    return (
      failures.count >= (isCarryingBytes ? CONFIRMING_TIMEOUTS_OF_LIVE_LINK : CONFIRMING_FAILURES)
    );
  }

  private recordSuccess(atMs: number): void {
    this.successes += 1;
    // Hysteresis keeps links that come and go from getting requests each time.
    const required = Math.min(2 ** this.relapses, MAX_REQUIRED_SUCCESSES);
    if (this.state.type !== 'reachable' && this.successes < required) return;
    this.failures = undefined;
    this.groupLoss = undefined;
    if (this.waitingSinceMs !== undefined && this.state.type !== 'reachable')
      this.waitingSinceMs = atMs;
  }
}
