package org.fallturn.rehearsal.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fallturn.node.command.Command;
import org.fallturn.rehearsal.configuration.SpreadExperiment;
import org.fallturn.rehearsal.faultload.FaultExperimentCommand;
import org.fallturn.rehearsal.limits.IsolationExperiment;
import org.fallturn.rehearsal.limits.LimitsExperiment;
import org.fallturn.rehearsal.membership.MembershipCommand;

/** Sub-command {@code experiment}; each experiment is one entry of the list. */
public final class ExperimentCommand implements Command {
  private static final List<Experiment> EXPERIMENTS =
      List.of(
          new RolesExperiment(),
          new PlacementExperiment(),
          new SchedulerSpeedExperiment(),
          new SpreadExperiment(),
          new LimitsExperiment(),
          new IsolationExperiment());
  private static final List<Command> WITH_OWN_OPTIONS =
      List.of(new OverheadExperiment(), new MembershipCommand(), new FaultExperimentCommand());
  private static final String CHOSEN = "experiment";
  private static final int DEFAULT_SEEDS = 20;
  private static final int DEFAULT_THREADS = 4;

  @Override
  public String name() {
    return "experiment";
  }

  @Override
  public String help() {
    return "run an experiment; writes tables and plots";
  }

  @Override
  public void declare(Subparser parser) {
    Subparsers subparsers = parser.addSubparsers().title("experiments").metavar("EXPERIMENT");
    for (Experiment experiment : EXPERIMENTS) {
      Subparser subparser = subparsers.addParser(experiment.name());
      subparser.setDefault(CHOSEN, experiment);
      addCommonOptions(subparser);
    }
    for (Command experiment : WITH_OWN_OPTIONS) {
      Subparser subparser = subparsers.addParser(experiment.name()).help(experiment.help());
      subparser.setDefault(CHOSEN, experiment);
      experiment.declare(subparser);
    }
  }

  private static void addCommonOptions(Subparser parser) {
    parser.addArgument("--seeds").type(Integer.class).setDefault(DEFAULT_SEEDS);
    parser.addArgument("--first-seed").dest("firstSeed").type(Long.class).setDefault(1L);
    parser.addArgument("--out").setDefault("experiment-results").help("output folder");
    parser.addArgument("--threads").type(Integer.class).setDefault(DEFAULT_THREADS);
    parser.addArgument("--real").action(Arguments.storeTrue()).help("play on real processes");
    parser.addArgument("--workload").nargs("*").setDefault(List.of()).help("name or TOML file");
    parser.addArgument("--shift").nargs("*").setDefault(List.of()).help("names of shifts");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    Object chosen = arguments.get(CHOSEN);
    if (chosen instanceof Command withOwnOptions) {
      return withOwnOptions.run(arguments);
    }
    Experiment experiment = (Experiment) chosen;
    ExperimentOptions options =
        new ExperimentOptions(
            arguments.getInt("seeds"),
            arguments.getLong("firstSeed"),
            Path.of(arguments.getString("out")),
            arguments.getInt("threads"),
            arguments.getBoolean("real"),
            arguments.getList("workload"),
            arguments.getList("shift"));
    Files.createDirectories(options.output());
    return experiment.run(options, System.out);
  }
}
