import {
  createNotRunError,
  type Clock,
  type EndpointId,
  type Fingerprint,
  type Logger,
  type NodeId,
} from '@lovagearch/common';
import {
  MAX_UPDATE_ENTRIES,
  QuarantineList,
  TRIAL_RETRY_AFTER_MS,
  type ContainmentSnapshot,
  type ContainmentEvent,
} from '@lovagearch/containment';
import type { PeerMesh } from '@lovagearch/peering';
import { z } from 'zod';
import { endpointSchema, fingerprintSchema, remainingMsSchema } from './containmentFields.js';
import type { Containment, NodeComponent } from './types.js';

const TOPIC = 'containment.update';
/** Messages sent to each peer per second; further events wait for the next second. */
const MAX_MESSAGES_PER_SECOND = 10;
/** Maximum number of events that wait to be sent; beyond it the oldest are dropped. */
const MAX_WAITING_EVENTS = 1_024;
const SECOND_MS = 1_000;

const fields = { fingerprint: fingerprintSchema, endpoint: endpointSchema };
const remainingMs = remainingMsSchema;

const updateSchema = z.object({
  events: z
    .array(
      z.discriminatedUnion('type', [
        z.object({ type: z.literal('suspect'), ...fields, remainingMs }),
        z.object({
          type: z.literal('quarantined'),
          ...fields,
          remainingMs,
          isTrial: z.boolean(),
        }),
        z.object({ type: z.literal('cleared'), ...fields }),
        z.object({ type: z.literal('trial'), ...fields, isRunning: z.boolean() }),
        z.object({ type: z.literal('faulty'), endpoint: fields.endpoint, remainingMs }),
      ]),
    )
    .max(MAX_UPDATE_ENTRIES),
});

export interface ContainmentControllerOptions {
  readonly mesh: PeerMesh;
  readonly clock: Clock;
  readonly log: Logger;
  /** Live members of all regions; may include this node. */
  readonly listLiveMembers: () => readonly NodeId[];
}

/** Containment on one node: maintains the quarantine list and sends its events to all members. */
export class ContainmentController implements Containment, NodeComponent {
  private readonly list = QuarantineList.create();

  private waiting: ContainmentEvent[] = [];

  private sentInSecond = 0;

  private secondStartMs = -Infinity;

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: ContainmentControllerOptions) {}

  static create(options: ContainmentControllerOptions): ContainmentController {
    const controller = new ContainmentController(options);
    options.mesh.registerHandler(TOPIC, updateSchema, (_from, { events }) =>
      controller.handleUpdate(events),
    );
    return controller;
  }

  readonly check: Containment['check'] = (fingerprint) => {
    const decision = this.list.getDecision(fingerprint, this.options.clock.nowMs());
    if (decision.type === 'clear') return decision;
    if (decision.type === 'only_on' && !decision.isTrialRunning) {
      return { type: 'only_on', endpoint: decision.endpoint };
    }
    const retryAfterMs =
      decision.type === 'only_on' ? TRIAL_RETRY_AFTER_MS : Math.ceil(decision.remainingMs);
    const message = 'an endpoint crashed while it was running this request';
    return {
      type: 'quarantined',
      error: createNotRunError('request_quarantined', message, retryAfterMs),
    };
  };

  readonly recordStart: Containment['recordStart'] = (endpoint, fingerprint) =>
    this.publish(this.list.recordStart(endpoint, fingerprint, this.options.clock.nowMs()));

  readonly recordOutput: Containment['recordOutput'] = (endpoint, fingerprint) =>
    this.list.recordOutput(endpoint, fingerprint);

  readonly recordEnd: Containment['recordEnd'] = (endpoint, fingerprint, outcome) =>
    this.publish(this.list.recordEnd(endpoint, fingerprint, outcome, this.options.clock.nowMs()));

  /** Returns whether an endpoint is out of rotation because it crashes regardless of the request. */
  isFaulty(endpoint: EndpointId): boolean {
    return this.list.isFaulty(endpoint, this.options.clock.nowMs());
  }

  /** Returns all active entries, for a node that missed events. */
  readonly getCopy = (): ContainmentSnapshot => this.list.getSnapshot(this.options.clock.nowMs());

  /** Adds the active entries of another node that are unknown to this one. */
  readonly applyCopy = (copy: ContainmentSnapshot): void =>
    this.list.applySnapshot(copy, this.options.clock.nowMs());

  /** Returns active suspects and quarantines, for the administration API. */
  listEntries(): { fingerprint: Fingerprint; type: string; endpoint: EndpointId }[] {
    const entries = this.list.listEntries(this.options.clock.nowMs());
    return entries.map(([fingerprint, { type, endpoint }]) => ({ fingerprint, type, endpoint }));
  }

  async stop(): Promise<void> {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.waiting = [];
  }

  private handleUpdate(events: readonly ContainmentEvent[]): void {
    const nowMs = this.options.clock.nowMs();
    for (const event of events) {
      this.publish(this.list.applyEvent(event, nowMs));
    }
  }

  private publish(events: readonly ContainmentEvent[]): void {
    if (events.length === 0) return;
    for (const event of events) {
      if (event.type === 'faulty') {
        this.options.log.warn(
          `Endpoint ${event.endpoint} crashes regardless of the request; out of rotation.`,
        );
      }
    }
    this.waiting = [...this.waiting, ...events].slice(-MAX_WAITING_EVENTS);
    this.sendWaiting();
  }

  private sendWaiting(): void {
    const { clock, listLiveMembers, mesh } = this.options;
    const nowMs = clock.nowMs();
    if (nowMs - this.secondStartMs >= SECOND_MS) {
      this.secondStartMs = nowMs;
      this.sentInSecond = 0;
    }
    while (this.waiting.length > 0 && this.sentInSecond < MAX_MESSAGES_PER_SECOND) {
      const events = this.waiting.splice(0, MAX_UPDATE_ENTRIES);
      this.sentInSecond++;
      for (const member of listLiveMembers()) {
        if (member !== mesh.self) mesh.send(member, TOPIC, { events });
      }
    }
    if (this.waiting.length > 0) this.scheduleSend(this.secondStartMs + SECOND_MS - nowMs);
  }

  private scheduleSend(delayMs: number): void {
    if (this.timer !== undefined) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.sendWaiting();
    }, delayMs);
  }
}
