/** Messages and bytes of one topic in each direction. */
export interface TopicTraffic {
  readonly topic: string;
  readonly sentMessages: number;
  readonly sentBytes: number;
  readonly receivedMessages: number;
  readonly receivedBytes: number;
}

/** Limits memory use if a peer sends arbitrary topics; further topics are counted as `other`. */
const MAX_TOPICS = 64;
const OTHER_TOPIC = 'other';

type MutableTopicTraffic = { -readonly [Name in keyof TopicTraffic]: TopicTraffic[Name] };

/**
 * Counts messages and bytes per topic. A reply counts towards the topic of its request.
 *
 * @example
 * const meter = TrafficMeter.create();
 * meter.recordSent('load.rows', 120);
 * meter.getTotals(); // { sentBytes: 120, receivedBytes: 0 }
 */
export class TrafficMeter {
  private readonly topics = new Map<string, MutableTopicTraffic>();

  static create(): TrafficMeter {
    return new TrafficMeter();
  }

  recordSent(topic: string, bytes: number): void {
    const counters = this.getCounters(topic);
    counters.sentMessages += 1;
    counters.sentBytes += bytes;
  }

  recordReceived(topic: string, bytes: number): void {
    const counters = this.getCounters(topic);
    counters.receivedMessages += 1;
    counters.receivedBytes += bytes;
  }

  /** Total bytes of all topics. */
  getTotals(): { readonly sentBytes: number; readonly receivedBytes: number } {
    let [sentBytes, receivedBytes] = [0, 0];
    for (const counters of this.topics.values()) {
      sentBytes += counters.sentBytes;
      receivedBytes += counters.receivedBytes;
    }
    return { sentBytes, receivedBytes };
  }

  listTopics(): readonly TopicTraffic[] {
    return [...this.topics.values()].map((counters) => ({ ...counters }));
  }

  private getCounters(topic: string): MutableTopicTraffic {
    const isNew = !this.topics.has(topic);
    const name = isNew && this.topics.size >= MAX_TOPICS - 1 ? OTHER_TOPIC : topic;
    const existing = this.topics.get(name);
    if (existing !== undefined) return existing;
    const created = {
      topic: name,
      sentMessages: 0,
      sentBytes: 0,
      receivedMessages: 0,
      receivedBytes: 0,
    };
    this.topics.set(name, created);
    return created;
  }
}
