package org.fallturn.node.settings;

import java.util.List;
import org.fallturn.core.scaling.ScaleParameters;

/**
 * Whether and how engines are ordered from the platform, where it says on which terms.
 *
 * @param enabled whether they ever are
 * @param ownShare share of a zone's engines that are not replaced by engines on loan
 */
public record ScaleSettings(boolean enabled, double ownShare) {

  private static final SettingDefinition<Boolean> ENABLED =
      SettingDefinition.flag(
          "scaling.enabled", true, "Whether engines are ordered from the platform.");

  private static final SettingDefinition<Double> OWN_SHARE =
      SettingDefinition.decimal(
          "scaling.own_share", 0.05, 0, 1, "Share of a zone's engines that are never on loan.");

  static final List<SettingDefinition<?>> DEFINITIONS = List.of(ENABLED, OWN_SHARE);

  static ScaleSettings from(SettingValues values) {
    return new ScaleSettings(values.get(ENABLED), values.get(OWN_SHARE));
  }

  ScaleParameters parameters(double leastStageShare) {
    return new ScaleParameters(enabled, ownShare, leastStageShare);
  }
}
