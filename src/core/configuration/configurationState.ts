/** State of the configuration: the view in force, absent until one is accepted. */
import type { ConfigurationView } from '../types.js';

export interface ConfigurationState {
  view: ConfigurationView | undefined;
}

export function createConfigurationState(view?: ConfigurationView): ConfigurationState {
  return { view };
}
