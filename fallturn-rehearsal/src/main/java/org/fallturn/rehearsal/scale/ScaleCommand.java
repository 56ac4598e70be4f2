package org.fallturn.rehearsal.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.command.Command;
import org.fallturn.node.json.JsonCodec;

/** {@code fallturn-rehearsal experiment scale}. */
public final class ScaleCommand implements Command {

  private static final int FULL_NODES = 370;
  private static final int FULL_ENGINES = 2700;
  private static final double FULL_PLACEMENTS = 4200;
  private static final int RACK_NODES = 21;
  private static final int REAL_NODES = 3;
  private static final int REAL_ENGINES = 4;
  private static final int CHANGES = 100;
  private static final long SETTLE_SECONDS = 25;
  private static final long MEASURE_SECONDS = 15;
  private static final int MEASUREMENTS = 2;

  @Override
  public String name() {
    return "scale";
  }

  @Override
  public String help() {
    return "control traffic, processor time and memory of a fleet of hollow nodes";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--nodes").type(Integer.class).setDefault(FULL_NODES);
    parser.addArgument("--engines").type(Integer.class).setDefault(FULL_ENGINES);
    parser
        .addArgument("--placements-per-second")
        .type(Double.class)
        .setDefault(FULL_PLACEMENTS)
        .help("asked for in a fleet of 370 nodes; smaller fleets get their share");
    parser.addArgument("--rack-nodes").type(Integer.class).setDefault(RACK_NODES);
    parser.addArgument("--real-nodes").type(Integer.class).setDefault(REAL_NODES);
    parser.addArgument("--real-engines").type(Integer.class).setDefault(REAL_ENGINES);
    parser.addArgument("--measure-seconds").type(Long.class).setDefault(MEASURE_SECONDS);
    parser.addArgument("--measurements").type(Integer.class).setDefault(MEASUREMENTS);
    parser.addArgument("--changes").type(Integer.class).setDefault(CHANGES);
    parser.addArgument("--settle-seconds").type(Long.class).setDefault(SETTLE_SECONDS);
    parser
        .addArgument("--report-interval")
        .setDefault("2s")
        .help("how often a leader reads its engines' load");
    parser
        .addArgument("--events")
        .nargs("+")
        .choices(ScaleEvent.options())
        .setDefault(List.of())
        .help("play these, one after the other, instead of placements");
    parser.addArgument("--logs").setDefault("scale-logs").help("folder for the processes' logs");
    parser.addArgument("--json").help("file to write the report to");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    int nodes = arguments.getInt("nodes");
    List<ScaleEvent> events = ScaleEvent.of(arguments.getList("events"));
    ScalePlan plan =
        new ScalePlan(
            nodes,
            arguments.getInt("engines"),
            arguments.getInt("rack_nodes"),
            arguments.getInt("real_nodes"),
            arguments.getInt("real_engines"),
            arguments.getLong("settle_seconds"),
            arguments.getLong("measure_seconds"),
            events.isEmpty() ? arguments.getInt("measurements") : 1,
            arguments.getDouble("placements_per_second") * nodes / FULL_NODES,
            arguments.getString("report_interval"),
            events,
            arguments.getInt("changes"));
    Path logs = Path.of(arguments.getString("logs"));
    ScaleReport report = new ScaleExperiment(plan, System.out).run(logs);
    String file = arguments.getString("json");
    if (file != null) {
      JsonCodec codec = new JsonCodec();
      Files.write(
          Path.of(file), codec.mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(report));
    }
    return 0;
  }
}
