package org.fallturn.rehearsal.configuration;

import java.time.Duration;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.rehearsal.RehearsalCommand;

/** {@code fallturn-rehearsal experiment configuration}. */
public final class ConfigurationExperimentCommand implements RehearsalCommand {

  private static final double DEAD_SHARE = 0.05;

  @Override
  public String name() {
    return "configuration";
  }

  @Override
  public String help() {
    return "time and bytes until a change is in force everywhere";
  }

  @Override
  public void configure(Subparser parser) {
    parser.addArgument("--nodes").type(Integer.class).setDefault(370);
    parser.addArgument("--zones").type(Integer.class).setDefault(6);
    parser.addArgument("--tenants").type(Integer.class).setDefault(410);
    parser.addArgument("--changes").type(Integer.class).setDefault(50);
    parser.addArgument("--interval-millis").type(Integer.class).setDefault(200);
    parser.addArgument("--commit-seconds").type(Integer.class).setDefault(5);
    parser.addArgument("--seed").type(Long.class).setDefault(1L);
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    ConfigurationPlan plan =
        new ConfigurationPlan(
            arguments.getInt("nodes"),
            arguments.getInt("zones"),
            arguments.getInt("tenants"),
            arguments.getInt("changes"),
            Duration.ofMillis(arguments.getInt("interval_millis")),
            Duration.ofSeconds(arguments.getInt("commit_seconds")),
            DEAD_SHARE,
            arguments.getLong("seed"));
    new ConfigurationExperiment(plan, System.out).run();
    return 0;
  }
}
