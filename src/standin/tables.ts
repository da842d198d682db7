import {createHash} from 'node:crypto';
import * as z from 'zod';
import {nameSchema, schemas} from '../settings/schema.js';
import type {Transaction} from '../ports/table.js';

/** A deployment as an example file describes it: its tables, and the machines that the stand-ins play. */
export const deploymentSchema = z.strictObject({
	name: nameSchema,
	tables: z.strictObject({
		routes: z.record(nameSchema, schemas.routes),
		pools: z.record(nameSchema, schemas.pools),
		'availability-zones': z.record(nameSchema, schemas['availability-zones']),
		members: z.record(nameSchema, z.strictObject({
			token: z.string().min(8),
			weight: z.number().positive().default(1),
			concurrent: z.number().int().nonnegative().default(10_000),
			startsPerSecond: z.number().int().nonnegative().default(100_000),
		})),
	}),
	zoneDelayMs: z.number().nonnegative(),
	clientDelayMs: z.number().nonnegative(),
	minions: z.strictObject({
		count: z.number().int().positive(),
		slots: z.number().int().positive(),
		connections: z.number().int().positive(),
		pools: z.array(nameSchema).min(1),
		slowness: z.array(z.number().positive()).min(1),
	}),
	workers: z.strictObject({
		count: z.number().int().nonnegative(),
		cores: z.number().positive(),
		memoryMb: z.number().positive(),
		accelerators: z.number().int().nonnegative(),
		pools: z.array(nameSchema).min(1),
		slowness: z.array(z.number().positive()).min(1),
	}),
});

/** Deployment is a checked example file. */
export type Deployment = z.infer<typeof deploymentSchema>;

/** Returns the SHA-256 of a bearer token in hexadecimal, as the members table has it. */
export function tokenHash(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}

/** Returns the transaction that writes a deployment's tables into an empty platform. */
export function loadTables({tables}: Deployment): Transaction {
	const rows: Array<[string, unknown]> = [];
	for (const table of ['routes', 'pools', 'availability-zones'] as const) {
		for (const [key, value] of Object.entries(tables[table])) {
			rows.push([`${table}/${key}`, value]);
		}
	}

	for (const [key, {token, ...member}] of Object.entries(tables.members)) {
		rows.push([`members/${key}`, {...member, tokenHash: tokenHash(token)}]);
	}

	return {
		checks: [], changes: rows.map(([key, value]) => ({
			kind: 'put', table: 'config', key, value,
		})),
	};
}
