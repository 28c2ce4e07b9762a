import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { MemoryBudget } from '@lovagearch/bounded-http';
import { type Clock, MS_PER_SECOND } from '@lovagearch/common';
import type { CallerLimits } from './callerLimits.js';
import { type CallerLimitName, ConnectionGate, type GateHost } from './connectionGate.js';
import { ConnectionLedger } from './connectionLedger.js';
import {
  CONNECTION_CHECK_INTERVAL_MS,
  GUARANTEED_CONNECTIONS,
  MAX_BODY_MEMORY_USE,
  MAX_DISCARDED_BYTES,
  MAX_GUARANTEED_REQUEST_BYTES,
  STALLED_AFTER_MS,
} from './constants.js';
import type { RequestIntake } from './intake/requestIntake.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';

/** Name of the listener for callers. */
export const CALLER_LISTENER = 'callers';

export interface ConnectionAdmissionParts {
  readonly limits: CallerLimits;
  readonly bodyMemory: MemoryBudget;
  readonly intake: Pick<RequestIntake, 'recordConnection'>;
  readonly clock: Clock;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/**
 * Admits connections and requests on all listeners of the process, by what the connections hold together.
 *
 * @example
 * const admission = ConnectionAdmission.create({ limits, bodyMemory, intake, clock, log, metrics });
 * admission.protect(server, 'callers');
 * admission.stop();
 */
export class ConnectionAdmission {
  private readonly ledger: ConnectionLedger<ConnectionGate>;

  private readonly gates = new WeakMap<Socket, ConnectionGate>();

  /** Gates with a request that waits for memory, in the order of their turns. */
  private readonly waiting = new Map<ConnectionGate, number>();

  private readonly reached = new Map<CallerLimitName, number>();

  private loggedAtMs = 0;

  private isResumeScheduled = false;

  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly parts: ConnectionAdmissionParts) {
    this.ledger = ConnectionLedger.create(parts.limits);
    this.timer = setInterval(() => this.checkConnections(), CONNECTION_CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  static create(parts: ConnectionAdmissionParts): ConnectionAdmission {
    return new ConnectionAdmission(parts);
  }

  /**
   * Admits the connections and requests of a server from now on.
   *
   * @param getMaxBodyBytes largest body that the server accepts
   */
  protect(server: Server, listener: string, getMaxBodyBytes = () => MAX_DISCARDED_BYTES): void {
    const host: GateHost = {
      clock: this.parts.clock,
      tryBegin: (gate, bytes) => this.tryBegin(gate, bytes),
      setHeldBytes: (gate, bytes) => this.ledger.setHeldBytes(gate, bytes),
      recordLimit: (limit) => this.recordLimit(limit),
      getMaxBodyBytes,
    };
    server.on('connection', (socket: Socket) => {
      this.parts.intake.recordConnection(socket, listener);
      this.admitConnection(socket, listener, host);
    });
    server.prependListener('request', (incoming: IncomingMessage, response: ServerResponse) =>
      this.gates.get(incoming.socket)?.recordRequest(incoming, response),
    );
  }

  stop(): void {
    clearInterval(this.timer);
    this.logReached();
  }

  private admitConnection(socket: Socket, listener: string, host: GateHost): void {
    if (!this.ledger.hasConnection) {
      const displaced = this.ledger.chooseDisplaced(listener);
      if (displaced === undefined) {
        this.recordLimit('connections');
        socket.destroy();
        return;
      }
      displaced.close('connections');
      this.remove(displaced);
    }
    const gate = ConnectionGate.attach(socket, listener, host);
    this.gates.set(socket, gate);
    this.ledger.add(gate);
    socket.once('close', () => this.remove(gate));
  }

  private remove(gate: ConnectionGate): void {
    this.ledger.remove(gate);
    this.waiting.delete(gate);
    this.scheduleResume();
  }

  private tryBegin(gate: ConnectionGate, bytes: number): boolean {
    // Requests that wait are not overtaken by new ones.
    if (this.waiting.size === 0 || this.waiting.has(gate)) {
      while (!this.ledger.hasMemory(bytes)) {
        const victim = this.ledger.chooseFreed(gate, false);
        if (victim === undefined) break;
        this.closeForMemory(victim);
      }
      if (this.ledger.hasMemory(bytes)) {
        if (this.waiting.delete(gate)) this.scheduleResume();
        return true;
      }
    }
    if (this.isGuaranteed(gate, bytes)) {
      this.waiting.delete(gate);
      return true;
    }
    this.waiting.set(gate, bytes);
    return false;
  }

  /** Whether a request may begin without memory: a few of other listeners than the callers' may, for readiness. */
  private isGuaranteed(gate: ConnectionGate, bytes: number): boolean {
    const { listener } = gate;
    if (listener === CALLER_LISTENER || bytes > MAX_GUARANTEED_REQUEST_BYTES) return false;
    let count = 0;
    for (const other of this.ledger.connections) {
      if (other === gate || other.listener !== listener || other.heldBytes === 0) continue;
      if (!this.waiting.has(other)) count += 1;
    }
    return count < GUARANTEED_CONNECTIONS;
  }

  private closeForMemory(gate: ConnectionGate): void {
    gate.close('memory');
    this.remove(gate);
  }

  private scheduleResume(): void {
    if (this.isResumeScheduled || this.waiting.size === 0) return;
    this.isResumeScheduled = true;
    setImmediate(() => {
      this.isResumeScheduled = false;
      const [first] = this.waiting;
      // The next one goes on when this one has begun.
      if (first !== undefined && this.ledger.hasMemory(first[1])) first[0].resume();
    });
  }

  private checkConnections(): void {
    const nowMs = this.parts.clock.nowMs();
    for (const gate of this.ledger.connections) {
      if (gate.getUse() !== 'idle') gate.check(nowMs);
      // Its refusal may have to wait for the client, which is no reason for others to wait.
      if (gate.isRefused) this.waiting.delete(gate);
    }
    while (this.ledger.isOverMemory) {
      const victim = this.ledger.chooseFreed(undefined, true);
      if (victim === undefined) break;
      this.closeForMemory(victim);
    }
    this.freeBodyMemory(nowMs);
    this.scheduleResume();
    if (nowMs - this.loggedAtMs >= MS_PER_SECOND) {
      this.loggedAtMs = nowMs;
      this.logReached();
    }
  }

  /** Closes connections whose bodies stand still while they take most of the memory for bodies. */
  private freeBodyMemory(nowMs: number): void {
    const { bodyMemory, limits } = this.parts;
    if (bodyMemory.reservedBytes < limits.bodyMemoryBytes * MAX_BODY_MEMORY_USE) return;
    for (const gate of this.ledger.connections) {
      if (gate.isReadingBody && nowMs - gate.progressAtMs > STALLED_AFTER_MS) {
        gate.close('body_memory');
        this.remove(gate);
      }
    }
  }

  private recordLimit(limit: CallerLimitName): void {
    this.parts.metrics.recordCallerLimit(limit);
    this.reached.set(limit, (this.reached.get(limit) ?? 0) + 1);
  }

  private logReached(): void {
    if (this.reached.size === 0) return;
    const { ledger } = this;
    this.parts.log.logProblem('caller_limits_reached', {
      limits: [...this.reached].map(([limit, count]) => `${limit}: ${count}`),
      connections: ledger.connections.size,
      heldBytes: ledger.heldBytes,
      waiting: this.waiting.size,
    });
    this.reached.clear();
  }
}
