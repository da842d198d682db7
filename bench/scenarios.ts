/** Measures one scenario. */
export async function measure(scenario: string, _values: unknown): Promise<void> {
	throw new Error(`there is no scenario ${scenario}`);
}
