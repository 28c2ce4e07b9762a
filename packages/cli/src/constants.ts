/** Exit codes of all commands. */
export const EXIT_FAILED = 1;
export const EXIT_BAD_INPUT = 2;
export const EXIT_CONFLICT = 3;
export const EXIT_PLATFORM_UNAVAILABLE = 4;

export const ADMIN_TIMEOUT_MS = 3_000;
export const MAX_ADMIN_RESPONSE_BYTES = 16_777_216;
/** Delay between two polls of the nodes by `publish --wait` and `decisions --follow`. */
export const POLL_INTERVAL_MS = 500;
export const MAX_WAIT_SECONDS = 3_600;
export const MAX_KEY_BYTES = 4_096;
export const MAX_PRINTED_DECISIONS_TRACKED = 10_000;
/** Backoff before the second attempt to publish; it doubles with each further attempt. */
export const INITIAL_BACKOFF_MS = 100;
export const MAX_BACKOFF_MS = 2_000;

export const OPERATOR_KEY_VARIABLE = 'LOVAGEARCH_OPERATOR_KEY';
export const SETTINGS_VARIABLE = 'LOVAGEARCH_SETTINGS';
