/** Formats rows as columns; the first row is the head. Numbers are aligned to the right. */
export function formatTable(rows: readonly (readonly (string | number)[])[]): string[] {
  const columns = Math.max(0, ...rows.map((row) => row.length));
  const widths = Array.from({ length: columns }, (_, column) =>
    Math.max(...rows.map((row) => String(row[column] ?? '').length)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => {
        const width = widths[column] ?? 0;
        return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width);
      })
      .join('  ')
      .trimEnd(),
  );
}
