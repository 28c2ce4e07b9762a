/** The members with which a node exchanges load rows. */
export interface GridPeers<Member> {
  readonly row: readonly Member[];
  readonly column: readonly Member[];
}

/**
 * Arranges the members of a region in a grid whose rows differ in length by at most one, and
 * returns the other members of this member's row and column. Data sent to the row and then
 * forwarded to the columns reaches every member in two hops. In a row that is one member short,
 * the first member also takes the place of the missing last one.
 *
 * @param members sorted ids of the region
 * @example
 * computeGridPeers(['a', 'b', 'c', 'd'], 'a'); // { row: ['b'], column: ['c'] }
 */
export const computeGridPeers = <Member extends string>(
  members: readonly Member[],
  self: Member,
): GridPeers<Member> => {
  const columnCount = Math.ceil(Math.sqrt(members.length));
  const rowCount = Math.ceil(members.length / Math.max(1, columnCount));
  const rows: Member[][] = [];
  for (let row = 0, start = 0; row < rowCount; row++) {
    const length = Math.ceil((members.length - start) / (rowCount - row));
    rows.push(members.slice(start, start + length));
    start += length;
  }
  const ownRow = rows.find((row) => row.includes(self));
  if (ownRow === undefined) return { row: [], column: [] };
  const ownIndex = ownRow.indexOf(self);
  const column = new Set<Member>();
  for (let index = 0; index < columnCount; index++) {
    if (index % ownRow.length !== ownIndex) continue;
    for (const row of rows) {
      const member = row[index % row.length];
      if (row !== ownRow && member !== undefined) column.add(member);
    }
  }
  return { row: ownRow.filter((member) => member !== self), column: [...column] };
};
