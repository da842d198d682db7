import * as z from 'zod';

/** When a part acts: always, never, or where the deployment's configuration calls for it, which each part decides. */
const enabled = z.enum(['auto', 'on', 'off']).default('auto');

/** Bytes and order on the links between entries and sidecars. */
const links = z.strictObject({enabled}).prefault({});
/** What an entry takes on while it is short of processor time or bandwidth. */
const overload = z.strictObject({enabled}).prefault({});
/** Admission while the pool of workers is short. */
const shortage = z.strictObject({enabled}).prefault({});
/** What is learned and assumed about workers. */
const workers = z.strictObject({enabled}).prefault({});
/** Placement by what waits and what ends soon. */
const lookAhead = z.strictObject({enabled}).prefault({});

/** The settings of the scheduling policy. A key that is not known is an error. */
export const policySettings = z.strictObject({
	links, overload, shortage, workers, lookAhead,
});

/** Settings of the scheduling policy, complete. */
export type PolicySettings = z.infer<typeof policySettings>;

/** The policy where the settings say nothing. */
export const defaultPolicySettings: PolicySettings = policySettings.parse({});
