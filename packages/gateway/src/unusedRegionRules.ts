import { MAX_UNUSED_REGION_RULES, OLD_PARTS_FREE_DELAY_MS } from './constants.js';
import { parseSaltRegions } from './reusePlan.js';

/** Finds the salts of prompt parts whose home regions no request has any longer. */
export class UnusedRegionRules {
  /** Clock reading at which a rule was first seen unused, by the rule's name. */
  private readonly unusedSinceMs = new Map<string, number>();

  static create(): UnusedRegionRules {
    return new UnusedRegionRules();
  }

  /**
   * Whether no request can have a salt any longer. Another node may apply a new configuration before this one, so the
   * rule has to be unused for some time.
   *
   * @param usedNames names of the region rules that requests can have now
   * @example
   * if (unusedRegionRules.isUnused(part.salt, rules.regionRuleNames, nowMs)) oldParts.push(part);
   */
  isUnused(salt: string, usedNames: ReadonlySet<string>, nowMs: number): boolean {
    const name = parseSaltRegions(salt);
    if (name === undefined) return false;
    if (usedNames.has(name)) {
      this.unusedSinceMs.delete(name);
      return false;
    }
    const sinceMs = this.unusedSinceMs.get(name);
    if (sinceMs !== undefined) return nowMs - sinceMs >= OLD_PARTS_FREE_DELAY_MS;
    // Salts come from other writers, which may name any number of rules.
    if (this.unusedSinceMs.size >= MAX_UNUSED_REGION_RULES) this.unusedSinceMs.clear();
    this.unusedSinceMs.set(name, nowMs);
    return false;
  }
}
