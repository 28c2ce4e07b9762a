import type { TableMirror } from '@lovagearch/mirror';
import { PEER_PREFIX } from './clusterState.js';
import { CRASHES_PREFIX, type PromptPartContainment } from './promptPartContainment.js';
import { STRIKES_PREFIX, type StrikePublisher } from './strikePublisher.js';
import { TARGET_TIMES_PREFIX, type WeightTargetTimes } from './weightTargetTimes.js';

export interface LostRowsDependencies {
  readonly nodeName: string;
  readonly sharedMirror: Pick<TableMirror, 'era' | 'getRow' | 'isUnconfirmed'>;
  readonly strikePublisher: Pick<StrikePublisher, 'publishAgain'>;
  readonly promptPartContainment: Pick<PromptPartContainment, 'publishAgain'>;
  readonly weightTargetTimes: Pick<WeightTargetTimes, 'publishAgain'>;
  /** Lists the models whose weights operators have named. */
  readonly listModels: () => readonly string[];
  /** Lets this node announce its address again. */
  readonly publishAddressAgain: () => void;
}

/** The rows that this node writes to the shared table, which are written again after a restore of the store. */
export class LostRows {
  /** Era of the store for which the rows are written; undefined before the first read. */
  private era: number | undefined;

  private constructor(private readonly dependencies: LostRowsDependencies) {}

  static create(dependencies: LostRowsDependencies): LostRows {
    return new LostRows(dependencies);
  }

  /** Lets the writers of lost rows write them again, once for each restore; called once the table was read. */
  publishAgain(): void {
    const { nodeName, sharedMirror, listModels } = this.dependencies;
    const { era } = sharedMirror;
    const isRestored = this.era !== undefined && this.era !== era;
    this.era = era;
    if (!isRestored) return;
    if (this.isLost(`${PEER_PREFIX}${nodeName}`)) this.dependencies.publishAddressAgain();
    if (this.isLost(`${STRIKES_PREFIX}${nodeName}`))
      this.dependencies.strikePublisher.publishAgain();
    if (this.isLost(`${CRASHES_PREFIX}${nodeName}`))
      this.dependencies.promptPartContainment.publishAgain();
    for (const model of listModels()) {
      if (this.isLost(`${TARGET_TIMES_PREFIX}${model}`))
        this.dependencies.weightTargetTimes.publishAgain(model);
    }
  }

  /** Whether the store lacks the newest state of a row; one that was just written may not be in the copy yet. */
  private isLost(key: string): boolean {
    const { sharedMirror } = this.dependencies;
    return sharedMirror.isUnconfirmed(key) || sharedMirror.getRow(key) === undefined;
  }
}
