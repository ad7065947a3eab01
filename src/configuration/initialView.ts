/** Builds the initial configuration view from a local file, used until the log provides one. */
import type { ConfigurationView } from '../core/types.js';
import { parseDocument } from './document.js';
import type { DocumentDiagnostic } from './types.js';
import { assignNumbers, createView, NO_ASSIGNMENTS } from './view.js';

/** Version of a document that does not come from the log. -1 already means "no document". */
const FILE_VERSION = -2;

export type InitialViewResult =
  | { readonly kind: 'view'; readonly view: ConfigurationView }
  | { readonly kind: 'diagnostics'; readonly diagnostics: readonly DocumentDiagnostic[] };

/** Parses and checks a document and builds its view. */
export function parseInitialView(text: string): InitialViewResult {
  const result = parseDocument(text);
  if (result.kind !== 'document') return result;
  const numbers = assignNumbers(result.document, NO_ASSIGNMENTS);
  return { kind: 'view', view: createView(result.document, numbers, FILE_VERSION) };
}
