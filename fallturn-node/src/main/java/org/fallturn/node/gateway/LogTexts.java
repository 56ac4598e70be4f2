package org.fallturn.node.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.fallturn.core.dispatch.EndedSend;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.dispatch.PromptShape;
import org.fallturn.core.quarantine.RequestContent;
import org.fallturn.core.routing.EngineDirectory;
import org.slf4j.spi.LoggingEventBuilder;

/** Log fields that summarize a request, its attempts or the engines. Stateless. */
final class LogTexts {

  /** Characters that a line quotes at most of a text from an engine, so that lines stay short. */
  private static final int MAX_QUOTED_CHARACTERS = 40;

  private LogTexts() {}

  /** Shortens a text from an engine. */
  static String shortened(String text) {
    return text.substring(0, Math.min(text.length(), MAX_QUOTED_CHARACTERS));
  }

  /**
   * Returns the local address of the connection that a request is sent on, which tells attempts on
   * one connection from attempts on several; empty when it has none.
   */
  static String connection(Request request) {
    return connection(request.getConnection());
  }

  /** Returns the local address of a connection; empty for none, or when it is closed. */
  static String connection(Connection connection) {
    return connection != null
            && connection.getLocalSocketAddress() instanceof InetSocketAddress local
        ? local.getAddress().getHostAddress() + ":" + local.getPort()
        : "";
  }

  /** Counts the engines by service and software version: {@code llm:v1=3 llm:v2=1}. */
  static String versions(EngineDirectory directory) {
    Map<String, Long> counts =
        directory.all().stream()
            .collect(
                Collectors.groupingBy(
                    engine -> engine.service() + ":" + engine.softwareVersion(),
                    TreeMap::new,
                    Collectors.counting()));
    return counts.entrySet().stream()
        .map(count -> count.getKey() + "=" + count.getValue())
        .collect(Collectors.joining(" "));
  }

  /**
   * Returns the id of the request that brought the first event of the stream that this one
   * continues, "?" when its caller does not name it, or an empty text when it continues none.
   */
  static String resumes(Exchange exchange) {
    return exchange
        .envelope()
        .resumed()
        .map(stream -> stream.firstAttemptId().orElse("?"))
        .orElse("");
  }

  /** Returns how the origin of the stream is known that a request continues; empty for none. */
  static String origin(Exchange exchange) {
    return exchange.progress().resumedFrom().map(known -> known.evidence().name()).orElse("");
  }

  /** Returns the age of what {@link #origin} names, when it was used; 0 for none. */
  static long originAgeMillis(Exchange exchange) {
    return exchange
        .progress()
        .resumedFrom()
        .map(known -> TimeUnit.NANOSECONDS.toMillis(known.evidenceAgeNanos()))
        .orElse(0L);
  }

  /**
   * Returns the id of the prompt's last shared part, which tells most about where the prompt is
   * cached; empty when there is none.
   */
  static String sharedPart(Exchange exchange) {
    return exchange
        .envelope()
        .prompt()
        .flatMap(PromptShape::lastSharedPart)
        .map(PromptPart::id)
        .orElse("");
  }

  /**
   * Returns the parts of the prompt that other requests may share, each with the fingerprint by
   * which nodes tell each other of it: {@code 5c1e07a2=part-1f0a9c4e-77}.
   */
  static String sharedParts(Exchange exchange) {
    RequestContent content = exchange.progress().content();
    return IntStream.range(0, content.sharedParts().size())
        .mapToObj(
            index ->
                content.sharedParts().get(index).id() + "=" + content.partFingerprints().get(index))
        .collect(Collectors.joining(" "));
  }

  /** Lists the ended sends of a request: {@code e-1=ENGINE_REFUSED e-2=LOST}. */
  static String sends(List<EndedSend> sends) {
    return sends.stream().map(EndedSend::toString).collect(Collectors.joining(" "));
  }

  /** Adds where the current attempt was sent and whether it was, if there is one. */
  static LoggingEventBuilder withLastAttempt(LoggingEventBuilder line, Exchange exchange) {
    return exchange.attempt().map(attempt -> withAttempt(line, attempt)).orElse(line);
  }

  /**
   * Adds where an attempt was sent, whether it was, and how run and answer are known to be over.
   */
  static LoggingEventBuilder withAttempt(LoggingEventBuilder line, EngineAttempt attempt) {
    return line.addKeyValue("engine", attempt.call().engine().id())
        .addKeyValue("send", attempt.sendNumber())
        .addKeyValue("through", attempt.forwarder().map(Object::toString).orElse(""))
        .addKeyValue("connection", attempt.connection())
        .addKeyValue("sent", attempt.maybeSent())
        .addKeyValue("runEnd", attempt.runEnd())
        .addKeyValue("answerEnd", attempt.answerEnd());
  }
}
