/** Bounds of a document. All lengths are in UTF-16 units, which are bytes for plain text. */

export const DOCUMENT_BYTES_MAX = 16 * 2 ** 20;
export const SECTION_BYTES_MAX = 8 * 2 ** 20;
export const ENTRY_BYTES_MAX = 64 * 2 ** 10;
export const ENTRIES_MAX = 65_536;
/** Nodes that aliases may add to one entry. */
export const ALIASES_MAX = 16;
/** Diagnostics that are kept of one check. */
export const DIAGNOSTICS_MAX = 20;
