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

const UPDATE_TOPIC = 'containment.update';
/** Messages sent to each peer per second; further events wait for the next second. */
const MAX_MESSAGES_PER_SECOND = 10;
/** Maximum number of events that wait to be sent; beyond it the oldest are dropped. */
const MAX_PENDING_EVENTS = 1_024;
const RATE_WINDOW_MS = 1_000;

const commonFields = { fingerprint: fingerprintSchema, endpoint: endpointSchema };
const remainingMs = remainingMsSchema;

const updateSchema = z.object({
  events: z
    .array(
      z.discriminatedUnion('type', [
        z.object({ type: z.literal('suspect'), ...commonFields, remainingMs }),
        z.object({
          type: z.literal('quarantined'),
          ...commonFields,
          remainingMs,
          isTrial: z.boolean(),
        }),
        z.object({ type: z.literal('cleared'), ...commonFields }),
        z.object({ type: z.literal('trial'), ...commonFields, isRunning: z.boolean() }),
        z.object({ type: z.literal('faulty'), endpoint: commonFields.endpoint, remainingMs }),
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
  private readonly quarantineList = QuarantineList.create();

  private pendingEvents: ContainmentEvent[] = [];

  private messagesInWindow = 0;

  private windowStartMs = -Infinity;

  private sendTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: ContainmentControllerOptions) {}

  static create(options: ContainmentControllerOptions): ContainmentController {
    const controller = new ContainmentController(options);
    options.mesh.registerHandler(UPDATE_TOPIC, updateSchema, (_from, { events }) =>
      controller.handleUpdate(events),
    );
    return controller;
  }

  readonly check: Containment['check'] = (fingerprint) => {
    const decision = this.quarantineList.getDecision(fingerprint, this.options.clock.nowMs());
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
    this.publish(
      this.quarantineList.recordStart(endpoint, fingerprint, this.options.clock.nowMs()),
    );

  readonly recordOutput: Containment['recordOutput'] = (endpoint, fingerprint) =>
    this.quarantineList.recordOutput(endpoint, fingerprint);

  readonly recordEnd: Containment['recordEnd'] = (endpoint, fingerprint, outcome) =>
    this.publish(
      this.quarantineList.recordEnd(endpoint, fingerprint, outcome, this.options.clock.nowMs()),
    );

  /** Returns whether an endpoint is out of rotation because it crashes regardless of the request. */
  isFaulty(endpoint: EndpointId): boolean {
    return this.quarantineList.isFaulty(endpoint, this.options.clock.nowMs());
  }

  /** Returns all active entries, for a node that missed events. */
  readonly getSnapshot = (): ContainmentSnapshot =>
    this.quarantineList.getSnapshot(this.options.clock.nowMs());

  /** Adds the active entries of another node that are unknown to this one. */
  readonly applySnapshot = (snapshot: ContainmentSnapshot): void =>
    this.quarantineList.applySnapshot(snapshot, this.options.clock.nowMs());

  /** Returns active suspects and quarantines, for the administration API. */
  listEntries(): { fingerprint: Fingerprint; type: string; endpoint: EndpointId }[] {
    const entries = this.quarantineList.listEntries(this.options.clock.nowMs());
    return entries.map(([fingerprint, { type, endpoint }]) => ({ fingerprint, type, endpoint }));
  }

  async stop(): Promise<void> {
    clearTimeout(this.sendTimer);
    this.sendTimer = undefined;
    this.pendingEvents = [];
  }

  private handleUpdate(events: readonly ContainmentEvent[]): void {
    const nowMs = this.options.clock.nowMs();
    for (const event of events) {
      this.publish(this.quarantineList.applyEvent(event, nowMs));
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
    this.pendingEvents = [...this.pendingEvents, ...events].slice(-MAX_PENDING_EVENTS);
    this.sendPendingEvents();
  }

  private sendPendingEvents(): void {
    const { clock, listLiveMembers, mesh } = this.options;
    const nowMs = clock.nowMs();
    if (nowMs - this.windowStartMs >= RATE_WINDOW_MS) {
      this.windowStartMs = nowMs;
      this.messagesInWindow = 0;
    }
    while (this.pendingEvents.length > 0 && this.messagesInWindow < MAX_MESSAGES_PER_SECOND) {
      const events = this.pendingEvents.splice(0, MAX_UPDATE_ENTRIES);
      this.messagesInWindow++;
      for (const member of listLiveMembers()) {
        if (member !== mesh.self) mesh.send(member, UPDATE_TOPIC, { events });
      }
    }
    if (this.pendingEvents.length > 0)
      this.scheduleSend(this.windowStartMs + RATE_WINDOW_MS - nowMs);
  }

  private scheduleSend(delayMs: number): void {
    if (this.sendTimer !== undefined) return;
    this.sendTimer = setTimeout(() => {
      this.sendTimer = undefined;
      this.sendPendingEvents();
    }, delayMs);
  }
}
