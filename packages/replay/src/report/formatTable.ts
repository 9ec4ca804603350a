/** Formats rows as a table with aligned columns. */
export function formatTable(
  heads: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = heads.map((head, column) =>
    Math.max(head.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const formatRow = (row: readonly string[]) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  const rule = widths.map((width) => '-'.repeat(width));
  return [heads, rule, ...rows].map(formatRow).join('\n');
}
