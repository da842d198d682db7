import * as z from 'zod';

/** When a part acts: always, never, or where the deployment's configuration calls for it, which each part decides. */
const enabled = z.enum(['auto', 'on', 'off']).default('auto');

/** Bytes and order on the links between entries and sidecars. */
const links = z.strictObject({enabled}).prefault({});
/** What an entry takes on while it is short of processor time or bandwidth. */
const overload = z.strictObject({
	enabled,
	/** The delay by the event loop, by the link or before admission above which new jobs are refused, in milliseconds. */
	delayLimitMs: z.number().min(5).max(1000).default(50),
	/** Jobs are taken again once all figures are below this share of their limits. */
	leaveShare: z.number().min(0).max(1).default(0.5),
	/** The jobs in hand for each core of the entry above which new ones are refused. */
	jobsPerCore: z.int().min(10).max(100_000).default(1000),
	/** The time that new jobs may take of one turn of the event loop, in milliseconds. What else is ready goes before further ones. */
	turnMs: z.number().min(1).max(100).default(10),
}).prefault({});
/** Admission while the pool of workers is short. */
const shortage = z.strictObject({
	enabled,
	/** Above the first queueing time ever more classes of jobs are held back, below the second ever fewer. */
	raiseAboveMs: z.number().min(1).max(1000).default(30),
	lowerBelowMs: z.number().min(0).max(1000).default(15),
	/** How long it takes to hold back one class more or less. */
	raiseMs: z.number().min(10).max(10_000).default(150),
	lowerMs: z.number().min(10).max(60_000).default(300),
}).prefault({});
/** What is learned and assumed about workers. */
const workers = z.strictObject({enabled}).prefault({});
/** Placement by what waits and what ends soon. */
const lookAhead = z.strictObject({enabled}).prefault({});
/** What is done about tasks under which workers crash. */
const isolation = z.strictObject({enabled}).prefault({});

/** The settings of the scheduling policy. A key that is not known is an error. */
export const policySettings = z.strictObject({
	links, overload, shortage, workers, lookAhead, isolation,
});

/** Settings of the scheduling policy, complete. */
export type PolicySettings = z.infer<typeof policySettings>;

/** The policy where the settings say nothing. */
export const defaultPolicySettings: PolicySettings = policySettings.parse({});
