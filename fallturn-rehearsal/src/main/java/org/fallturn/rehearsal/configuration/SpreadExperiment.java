package org.fallturn.rehearsal.configuration;

import java.io.PrintStream;
import java.nio.file.Files;
import java.time.Duration;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.experiment.Experiment;
import org.fallturn.rehearsal.experiment.ExperimentOptions;

/** {@code fallturn-rehearsal experiment configuration}, at the size the project is for. */
public final class SpreadExperiment implements Experiment {

  private static final String REPORT_FILE = "configuration.json";
  private static final int NODES = 370;
  private static final int ZONES = 6;
  private static final int TENANTS = 410;
  private static final int CHANGES = 50;
  private static final Duration CHANGE_INTERVAL = Duration.ofMillis(500);
  private static final Duration COMMIT_TIME = Duration.ofSeconds(5);
  private static final double DEAD_SHARE = 0.05;

  @Override
  public String name() {
    return "configuration";
  }

  @Override
  public int run(ExperimentOptions options, PrintStream output) throws Exception {
    ConfigurationPlan plan =
        new ConfigurationPlan(
            NODES,
            ZONES,
            TENANTS,
            CHANGES,
            CHANGE_INTERVAL,
            COMMIT_TIME,
            DEAD_SHARE,
            options.firstSeed());
    ConfigurationReport report = new ConfigurationExperiment(plan, output).run();
    Files.write(
        options.output().resolve(REPORT_FILE),
        new JsonCodec().mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(report));
    return 0;
  }
}
