/**
 * Size limits of a configuration document. Lengths are counted in UTF-16 code units, which equal
 * bytes for ASCII text.
 */

export const MAX_DOCUMENT_LENGTH = 16 * 2 ** 20;
export const MAX_SECTION_LENGTH = 8 * 2 ** 20;
export const MAX_ENTRY_LENGTH = 64 * 2 ** 10;
export const MAX_SECTION_ENTRIES = 65_536;
/** Maximum number of nodes that alias expansion may add to one entry. */
export const MAX_ALIASES = 16;
/** Maximum number of diagnostics reported by one check. */
export const MAX_DIAGNOSTICS = 20;
