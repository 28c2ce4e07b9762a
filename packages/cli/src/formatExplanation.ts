import * as z from 'zod';

const forecastSchema = z.object({
  expectedMs: z.number(),
  waitMs: z.number(),
  roundTripMs: z.number(),
  transferMs: z.number(),
  workMs: z.number(),
  adjustmentMs: z.number(),
  costMs: z.number(),
  uncachedTokens: z.number(),
});

const candidateSchema = z.object({
  endpoint: z.string(),
  zone: z.string(),
  isChosen: z.boolean(),
  isAffinityOwner: z.boolean(),
  forecast: forecastSchema.optional(),
  excludedBy: z.string().optional(),
  link: z.object({ state: z.string(), cause: z.string(), ageMs: z.number() }).optional(),
  running: z.number(),
  waiting: z.number(),
  loadAgeMs: z.number().optional(),
  limitPerS: z.number().optional(),
  shareOfLimitPerS: z.number().optional(),
});

const admissionSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('admit') }),
  z.object({ type: z.literal('refuse'), reason: z.string(), retryAfterMs: z.number() }),
]);

const relaySchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('peer'),
    peer: z.object({ name: z.string(), zone: z.string() }),
    evidence: z.string(),
  }),
  z.object({ type: z.literal('none'), reason: z.string(), retryInMs: z.number().optional() }),
]);

const targetSchema = z.object({
  service: z.string(),
  weight: z.number(),
  chosen: z.string().optional(),
  admission: admissionSchema.optional(),
  relay: relaySchema.optional(),
  candidates: z.array(candidateSchema),
});

const routedSchema = z.object({
  type: z.literal('routed'),
  node: z.string(),
  configuration: z.number(),
  route: z.string(),
  account: z.string().optional(),
  priority: z.number(),
  targetMs: z.number(),
  timeLimitMs: z.number(),
  isDraining: z.boolean(),
  hasQuarantinedParts: z.boolean(),
  targets: z.array(targetSchema),
});

/** Response of a gateway VM to the question where it would send a request. */
export const explanationSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('refused'), node: z.string(), reason: z.string() }),
  routedSchema,
]);

type RoutedExplanation = z.infer<typeof routedSchema>;
type Candidate = z.infer<typeof candidateSchema>;
type Relay = z.infer<typeof relaySchema>;

const COLUMNS = [
  ['', 1],
  ['endpoint', 16],
  ['zone', 14],
  ['cost', 7],
  ['expected', 9],
  ['wait', 7],
  ['work', 7],
  ['trip', 6],
  ['transfer', 9],
  ['adjust', 7],
  ['uncached', 9],
  ['running', 8],
  ['waiting', 8],
  ['load age', 9],
  ['share/s', 8],
] as const;

const formatCells = (cells: readonly string[]): string =>
  cells
    .map((cell, index) => cell.padEnd(COLUMNS[index]?.[1] ?? 0))
    .join(' ')
    .trimEnd();

const formatNumber = (value: number | undefined): string =>
  value === undefined ? '-' : String(Math.round(value));

const formatCandidate = (candidate: Candidate): string => {
  const { forecast, link } = candidate;
  const share = candidate.shareOfLimitPerS;
  const cells = formatCells([
    candidate.isChosen ? '*' : '',
    candidate.endpoint,
    candidate.zone,
    formatNumber(forecast?.costMs),
    formatNumber(forecast?.expectedMs),
    formatNumber(forecast?.waitMs),
    formatNumber(forecast?.workMs),
    formatNumber(forecast?.roundTripMs),
    formatNumber(forecast?.transferMs),
    formatNumber(forecast?.adjustmentMs),
    formatNumber(forecast?.uncachedTokens),
    formatNumber(candidate.running),
    formatNumber(candidate.waiting),
    formatNumber(candidate.loadAgeMs),
    share === undefined ? '-' : share.toFixed(2),
  ]);
  const notes = [
    ...(candidate.excludedBy === undefined ? [] : [`excluded: ${candidate.excludedBy}`]),
    ...(link === undefined
      ? []
      : [`link ${link.state} (${link.cause}) for ${Math.round(link.ageMs)} ms`]),
    ...(candidate.isAffinityOwner ? ['affinity owner'] : []),
  ];
  return notes.length === 0 ? cells : `${cells}  ${notes.join(', ')}`;
};

const formatAdmission = (admission: z.infer<typeof admissionSchema> | undefined): string => {
  if (admission === undefined) return 'no endpoint may get the request';
  if (admission.type === 'admit') return 'admitted';
  return `refused as ${admission.reason}, Retry-After ${Math.round(admission.retryAfterMs)} ms`;
};

const formatRelay = (relay: Relay): string =>
  relay.type === 'peer'
    ? `no endpoint can be reached, passed on to ${relay.peer.name} (${relay.peer.zone})`
    : `no endpoint can be reached, and no peer takes the request (${relay.reason})`;

/** Formats an explanation as lines: the route, and a table of the candidates of each target. Times are in ms. */
export const formatExplanation = (explanation: RoutedExplanation): string[] => {
  const { node, route, account, priority, targetMs, timeLimitMs, configuration } = explanation;
  const notes = [
    ...(explanation.isDraining ? ['the VM is draining'] : []),
    ...(explanation.hasQuarantinedParts ? ['parts of the prompt are quarantined'] : []),
  ];
  const lines = [
    `${node}: route ${route}, account ${account ?? '-'}, priority ${priority}, ` +
      `target ${targetMs} ms, limit ${timeLimitMs} ms, configuration ${configuration}`,
    ...notes,
  ];
  for (const { service, weight, admission, relay, candidates } of explanation.targets) {
    const fate = relay === undefined ? formatAdmission(admission) : formatRelay(relay);
    lines.push(`service ${service}, weight ${weight}: ${fate}`);
    lines.push(formatCells(COLUMNS.map(([name]) => name)));
    const costs = (candidate: Candidate) => candidate.forecast?.costMs ?? Number.POSITIVE_INFINITY;
    const sorted = [...candidates].sort((one, other) => costs(one) - costs(other) || 0);
    for (const candidate of sorted) lines.push(formatCandidate(candidate));
  }
  return lines;
};
