package org.fallturn.rehearsal.engine;

import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.command.Command;
import org.fallturn.rehearsal.ForegroundProcess;

/** {@code fallturn-rehearsal engine}. */
public final class EngineCommandLine implements Command {

  @Override
  public String name() {
    return "engine";
  }

  @Override
  public String help() {
    return "stand-in of a model engine";
  }

  @Override
  public void declare(Subparser parser) {
    EngineSettings defaults = EngineSettings.defaults("engine-1", EngineRole.DECODE, "model");
    EngineSettings.Reports reports = defaults.reports();
    parser.addArgument("--id").setDefault(defaults.engine().value()).help("name of the engine");
    parser.addArgument("--listen").setDefault(defaults.listen().toString()).help("host:port");
    parser.addArgument("--role").type(EngineRole.class).setDefault(defaults.role());
    parser.addArgument("--model").setDefault(defaults.model().value());
    parser.addArgument("--model-version").setDefault(defaults.modelVersion());
    parser.addArgument("--platform").help("host:port of the platform, for weights");
    parser.addArgument("--time-scale").type(Double.class).setDefault(defaults.timeScale());
    parser
        .addArgument("--tokens-per-chunk")
        .type(Integer.class)
        .setDefault(defaults.tokensPerChunk());
    parser.addArgument("--cache-blocks").type(Integer.class).setDefault(defaults.cacheBlocks());
    parser.addArgument("--max-waiting").type(Integer.class).setDefault(defaults.maxWaiting());
    parser.addArgument("--load-lag-millis").type(Long.class).setDefault(reports.loadLagMillis());
    parser
        .addArgument("--cache-event-lag-millis")
        .type(Long.class)
        .setDefault(reports.cacheEventLagMillis());
    parser
        .addArgument("--cache-event-loss-one-in")
        .type(Integer.class)
        .setDefault(reports.cacheEventLossOneIn());
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    EngineStandIn engine = new EngineStandIn(settings(arguments)).start();
    return ForegroundProcess.serve(engine.address(), engine);
  }

  private static EngineSettings settings(Namespace arguments) {
    return new EngineSettings(
        new EngineId(arguments.getString("id")),
        NetworkAddress.parse(arguments.getString("listen")),
        arguments.get("role"),
        new ModelName(arguments.getString("model")),
        arguments.getString("model_version"),
        Optional.ofNullable(arguments.getString("platform")).map(NetworkAddress::parse),
        EngineCosts.DEFAULT,
        arguments.getDouble("time_scale"),
        arguments.getInt("tokens_per_chunk"),
        arguments.getInt("cache_blocks"),
        arguments.getInt("max_waiting"),
        new EngineSettings.Reports(
            arguments.getLong("load_lag_millis"),
            arguments.getLong("cache_event_lag_millis"),
            arguments.getInt("cache_event_loss_one_in")),
        true);
  }
}
