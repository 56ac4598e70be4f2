package org.fallturn.rehearsal.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.command.Command;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.overhead.OverheadMeasurement;
import org.fallturn.rehearsal.overhead.OverheadReport;

/** {@code fallturn-rehearsal experiment overhead}: what a node adds to a request. */
public final class OverheadExperiment implements Command {

  private static final int DEFAULT_ROUNDS = 5;
  private static final String FILE = "overhead.json";

  @Override
  public String name() {
    return "overhead";
  }

  @Override
  public String help() {
    return "latency, processor time and memory that a node adds to a request";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--rounds").type(Integer.class).setDefault(DEFAULT_ROUNDS);
    parser
        .addArgument("--seed")
        .type(Long.class)
        .setDefault(1L)
        .help("drives prompts and arrivals");
    parser.addArgument("--out").setDefault("experiment-results").help("output folder");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    Path output = Path.of(arguments.getString("out"));
    Files.createDirectories(output);
    OverheadMeasurement measurement =
        new OverheadMeasurement(System.out, arguments.getLong("seed"), arguments.getInt("rounds"));
    OverheadReport report = measurement.run(output.resolve("overhead-logs"));
    Files.write(output.resolve(FILE), new JsonCodec().encode(report));
    return report.failed() == 0 ? 0 : 1;
  }
}
