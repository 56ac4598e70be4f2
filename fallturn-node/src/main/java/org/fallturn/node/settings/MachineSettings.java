package org.fallturn.node.settings;

import java.util.List;

/**
 * The machine that a gateway process runs on, as far as it decides how much of the fleet's work the
 * process takes.
 *
 * @param cpuShare part of each core
 * @param cores number of cores
 * @param bandwidthMbps bandwidth of its link, in Mbit/s
 */
public record MachineSettings(double cpuShare, double cores, double bandwidthMbps) {

  private static final double MOST = 1e6;

  private static final SettingDefinition<Double> CPU_SHARE =
      SettingDefinition.decimal(
          "machine.cpu_share", 1, 0.001, MOST, "Part of each core that the process may use.");

  private static final SettingDefinition<Double> CORES =
      SettingDefinition.decimal("machine.cores", 1, 0.001, MOST, "Cores of the machine.");

  private static final SettingDefinition<Double> BANDWIDTH =
      SettingDefinition.decimal(
          "machine.bandwidth_mbps",
          1_000,
          0.001,
          MOST,
          "Bandwidth of the machine's link, in Mbit/s.");

  static final List<SettingDefinition<?>> DEFINITIONS = List.of(CPU_SHARE, CORES, BANDWIDTH);

  static MachineSettings from(SettingValues values) {
    return new MachineSettings(values.get(CPU_SHARE), values.get(CORES), values.get(BANDWIDTH));
  }

  /** Processor time a second, in cores. */
  public double processor() {
    return cpuShare * cores;
  }
}
