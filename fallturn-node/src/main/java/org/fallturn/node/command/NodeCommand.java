package org.fallturn.node.command;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.node.metrics.LogSetup;
import org.fallturn.node.server.NodeServer;
import org.fallturn.node.settings.NodeSettings;
import org.fallturn.node.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * {@code fallturn node}: runs one node until SIGTERM or SIGINT, which begin a planned stop. Once
 * all ports are bound, prints a line {@code listening PORT ADDRESS} for each of them, where PORT is
 * the name of the port, and then {@code started NODE}.
 */
public final class NodeCommand implements Command {

  private static final Logger LOG = LoggerFactory.getLogger(NodeCommand.class);

  private final PrintStream out;

  /** Creates the command; it prints the addresses to the given stream. */
  public NodeCommand(PrintStream out) {
    this.out = out;
  }

  @Override
  public String name() {
    return "node";
  }

  @Override
  public String help() {
    return "run one node";
  }

  @Override
  public void declare(Subparser parser) {
    SettingsArguments.declare(parser);
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    NodeSettings settings;
    try {
      settings = SettingsArguments.read(arguments);
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      return USAGE;
    }
    LogSetup.apply(settings.log().format(), settings.log().level());
    NodeServer server = new NodeServer(settings);
    server.start();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "planned-stop"));
    printAddresses(server);
    new CountDownLatch(1).await();
    return OK;
  }

  private void printAddresses(NodeServer server) {
    server.addresses().forEach((port, address) -> out.println("listening " + port + " " + address));
    out.println("started " + server.node());
    out.flush();
  }

  /**
   * Runs in the shutdown hook. Halts the JVM, since otherwise a planned stop would exit with the
   * code of the signal instead of 0.
   */
  private static void stop(NodeServer server) {
    int exitCode = FAILED;
    try {
      exitCode = server.stopAsPlanned() ? OK : FAILED;
    } catch (InterruptedException e) {
      LOG.warn("node: The planned stop was interrupted.");
    }
    Runtime.getRuntime().halt(exitCode);
  }
}
