package org.fallturn.rehearsal.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.command.Command;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.http.RemoteCallException;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.application.ExecutionCounts;
import org.fallturn.rehearsal.engine.EngineJournal;

/** {@code fallturn-rehearsal load}. */
public final class LoadCommand implements Command {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String help() {
    return "play a load against nodes and check every answer";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--node").action(Arguments.append()).required(true).help("host:port");
    parser.addArgument("--engine").action(Arguments.append()).help("read its journal: host:port");
    parser.addArgument("--application").action(Arguments.append()).help("read its counts");
    parser.addArgument("--api-key").required(true);
    parser.addArgument("--model-service").help("service of the chat completions");
    parser.addArgument("--application-service").help("service of the application calls");
    parser.addArgument("--requests-per-second").type(Double.class).setDefault(20.0);
    parser.addArgument("--seconds").type(Integer.class).setDefault(10);
    parser.addArgument("--prompt-words").type(Integer.class).setDefault(200);
    parser.addArgument("--max-tokens").type(Integer.class).setDefault(64);
    parser.addArgument("--seed").type(Long.class).setDefault(1L);
    parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON, not a table");
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    LoadSettings settings =
        LoadSettings.of(
            addresses(arguments.getList("node")),
            classes(arguments),
            Duration.ofSeconds(arguments.getInt("seconds")),
            arguments.getLong("seed"));
    try (LoadGenerator generator = new LoadGenerator(settings)) {
      RunReport report = withJournals(generator.run(), arguments);
      JsonCodec codec = new JsonCodec();
      System.out.println(
          arguments.getBoolean("json") ? codec.encodeText(report) : report.toTable());
      return report.isClean() ? 0 : 1;
    }
  }

  private static List<NetworkAddress> addresses(List<String> texts) {
    return texts == null ? List.of() : texts.stream().map(NetworkAddress::parse).toList();
  }

  private static List<LoadClass> classes(Namespace arguments) {
    String key = arguments.getString("api_key");
    double rate = arguments.getDouble("requests_per_second");
    List<LoadClass> classes = new ArrayList<>();
    String model = arguments.getString("model_service");
    if (model != null) {
      LoadClass streaming =
          LoadClass.streaming(
              key,
              model,
              rate / 2,
              arguments.getInt("prompt_words"),
              arguments.getInt("max_tokens"));
      classes.add(streaming.named(model + " streaming"));
      classes.add(streaming.named(model + " whole").withKind(LoadClass.Kind.WHOLE));
    }
    String application = arguments.getString("application_service");
    if (application != null) {
      classes.add(LoadClass.application(key, application, rate));
    }
    return classes;
  }

  private static RunReport withJournals(RunReport report, Namespace arguments) throws Exception {
    HttpClient http = new HttpClient();
    http.start();
    try {
      JsonHttpClient client = new JsonHttpClient(http, new JsonCodec());
      List<EngineJournal> engines =
          documents(client, arguments.getList("engine"), "/control/journal", EngineJournal.class);
      List<ExecutionCounts> applications =
          documents(
              client, arguments.getList("application"), "/control/counts", ExecutionCounts.class);
      return report.withJournals(engines, applications);
    } finally {
      http.stop();
    }
  }

  private static <A> List<A> documents(
      JsonHttpClient client, List<String> texts, String path, Class<A> type)
      throws RemoteCallException {
    List<A> documents = new ArrayList<>();
    for (NetworkAddress address : addresses(texts)) {
      documents.add(JsonHttpClient.await(client.get(address, path, type, TIMEOUT)));
    }
    return documents;
  }
}
