import type * as z from 'zod';

/** How many validation errors a text names. */
const maxDescribed = 5;

/** Formats the first validation errors of a message, and counts the others. */
export function describeIssues(issues: readonly z.core.$ZodIssue[]): string {
	const described = issues.slice(0, maxDescribed).map(({path, message}) => `${path.join('.')}: ${message}`);
	return [...described, ...(issues.length > maxDescribed ? [`and ${issues.length - maxDescribed} more`] : [])].join('; ');
}
