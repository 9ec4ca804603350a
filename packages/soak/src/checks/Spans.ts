/** A span of time; `to` is `Infinity` while it lasts. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** Whether any of the spans overlaps the time between two moments. */
export function overlaps(spans: readonly Span[], from: number, to: number): boolean {
  return spans.some((span) => span.from <= to && span.to >= from);
}

/** Gives the spans that begin with one kind of event and end with the next of another. */
export function spansBetween<Event extends { readonly at: number }>(
  events: readonly Event[],
  begins: (event: Event) => boolean,
  ends: (event: Event) => boolean,
): Span[] {
  const spans: Span[] = [];
  let from: number | undefined;
  for (const event of events) {
    if (begins(event)) from ??= event.at;
    else if (from !== undefined && ends(event)) {
      spans.push({ from, to: event.at });
      from = undefined;
    }
  }
  if (from !== undefined) spans.push({ from, to: Infinity });
  return spans;
}
