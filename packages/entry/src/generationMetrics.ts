import type { Clock, Metrics } from '@lovagearch/common';
import type { EngineUsage } from '@lovagearch/engine-client';
import type { GenerationPlan } from './generationPlan.js';

/** Metrics of one generation: time to first token, gaps between tokens, prompt tokens by source. */
export class GenerationMetrics {
  private lastTokenMs: number | undefined;

  private readonly recordTokenGapMs: (durationMs: number) => void;

  private readonly labels: { readonly account: string; readonly class: string };

  private constructor(
    private readonly metrics: Metrics,
    private readonly clock: Clock,
    private readonly arrivedAtMs: number,
    plan: Pick<GenerationPlan, 'account' | 'requestClass'>,
  ) {
    this.labels = { account: plan.account, class: plan.requestClass };
    this.recordTokenGapMs = metrics.createRecorder('token_gap_ms', this.labels);
  }

  /** @param arrivedAtMs clock reading at which the request arrived */
  static create(
    metrics: Metrics,
    clock: Clock,
    arrivedAtMs: number,
    plan: Pick<GenerationPlan, 'account' | 'requestClass'>,
  ): GenerationMetrics {
    return new GenerationMetrics(metrics, clock, arrivedAtMs, plan);
  }

  /** Records the latency that this process added before the runner call, excluding queueing. */
  recordAddedDelay(queuedMs: number): void {
    const addedMs = this.clock.nowMs() - this.arrivedAtMs - queuedMs;
    this.metrics.recordMs('added_delay_ms', addedMs, this.labels);
  }

  /** Records the time to the first token, or the gap since the previous one. */
  recordToken(): void {
    const nowMs = this.clock.nowMs();
    if (this.lastTokenMs === undefined) {
      this.metrics.recordMs('ttft_ms', nowMs - this.arrivedAtMs, this.labels);
    } else {
      this.recordTokenGapMs(nowMs - this.lastTokenMs);
    }
    this.lastTokenMs = nowMs;
  }

  /** Counts prompt tokens by source: recomputed, cached on the runner or imported. */
  recordUsage({ promptTokens, cachedTokens, importedTokens }: EngineUsage): void {
    const recomputed = Math.max(0, promptTokens - cachedTokens - importedTokens);
    this.metrics.addCount('prompt_tokens_recomputed', this.labels, recomputed);
    this.metrics.addCount('prompt_tokens_cached', this.labels, cachedTokens);
    this.metrics.addCount('prompt_tokens_imported', this.labels, importedTokens);
  }
}
