/** Exit codes of all commands. */
export const EXIT_FAILED = 1;
export const EXIT_BAD_INPUT = 2;
export const EXIT_CONFLICT = 3;
export const EXIT_PLATFORM_UNAVAILABLE = 4;

export const ADMIN_TIMEOUT_MS = 3_000;
export const MAX_ADMIN_RESPONSE_BYTES = 16_777_216;
/** Interval in which `publish --wait` and `decisions --follow` ask the nodes. */
export const POLL_INTERVAL_MS = 500;
export const MAX_WAIT_SECONDS = 3_600;
export const MAX_KEY_BYTES = 4_096;
export const MAX_FOLLOWED_DECISIONS = 10_000;
/** Pause before the second try of a publication; it doubles with each further try. */
export const FIRST_RETRY_PAUSE_MS = 100;
export const MAX_RETRY_PAUSE_MS = 2_000;

export const OPERATOR_KEY_VARIABLE = 'LOVAGEARCH_OPERATOR_KEY';
export const SETTINGS_VARIABLE = 'LOVAGEARCH_SETTINGS';
