package org.fallturn.rehearsal.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.command.Command;
import org.fallturn.node.json.JsonCodec;

/** {@code fallturn-rehearsal experiment scale-tables}. */
public final class ScaleTablesCommand implements Command {

  @Override
  public String name() {
    return "scale-tables";
  }

  @Override
  public String help() {
    return "write the reports of experiment scale as Markdown tables with slopes";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--out").required(true).help("Markdown file to write");
    parser.addArgument("reports").nargs("+").help("JSON files written by experiment scale");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    JsonCodec codec = new JsonCodec();
    List<ScaleReport> reports = new ArrayList<>();
    for (String file : arguments.<String>getList("reports")) {
      reports.add(codec.decode(Files.readAllBytes(Path.of(file)), ScaleReport.class));
    }
    Files.writeString(Path.of(arguments.getString("out")), new ScaleTables(reports).write());
    return 0;
  }
}
