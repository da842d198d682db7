/** Lays out rows under headings, in columns as wide as their longest cell. Numbers are set to the right. */
export function tableText(headings: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const widths = headings.map((heading, column) => Math.max(heading.length, ...rows.map(row => String(row[column] ?? '').length)));
	const line = (cells: ReadonlyArray<string | number>) => cells
		.map((cell, column) => typeof cell === 'number' ? String(cell).padStart(widths[column]!) : cell.padEnd(widths[column]!))
		.join('  ')
		.trimEnd();
	return [line(headings), line(widths.map(width => '-'.repeat(width))), ...rows.map(row => line(row))].join('\n');
}
