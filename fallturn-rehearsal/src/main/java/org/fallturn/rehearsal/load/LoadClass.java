package org.fallturn.rehearsal.load;

import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.Urgency;

/**
 * One kind of request in a load.
 *
 * @param name names the class in the report
 * @param apiKey key of the tenant that calls
 * @param service the service called
 * @param kind how it is called
 * @param requestsPerSecond mean rate of arrivals
 * @param promptWords words of the prompt, or of the body of an application call
 * @param sharedPrefixWords of them, words that all requests of the class begin with
 * @param maxTokens token limit of the answer
 * @param deadlineMillis deadline asked for
 * @param urgency urgency asked for
 * @param reader what the caller does with the answer
 * @param keyPrefix prefix of the idempotency keys; empty for none
 */
public record LoadClass(
    String name,
    String apiKey,
    ServiceName service,
    Kind kind,
    double requestsPerSecond,
    int promptWords,
    int sharedPrefixWords,
    int maxTokens,
    long deadlineMillis,
    Urgency urgency,
    Reader reader,
    String keyPrefix) {

  /** How a service is called. */
  public enum Kind {
    /** A chat completion that streams. */
    STREAM,
    /** A chat completion in one piece. */
    WHOLE,
    /** An application call. */
    APPLICATION
  }

  /** What a caller does with an answer. */
  public enum Reader {
    /** Reads it to the end. */
    READS,
    /** Stops reading after the first bytes but keeps the connection for a while. */
    STALLS,
    /** Closes the connection after the first bytes. */
    CANCELS
  }

  /** Streaming chat completions with a deadline of ten seconds, read to the end. */
  public static LoadClass streaming(
      String apiKey, String service, double requestsPerSecond, int promptWords, int maxTokens) {
    return new LoadClass(
        service,
        apiKey,
        new ServiceName(service),
        Kind.STREAM,
        requestsPerSecond,
        promptWords,
        promptWords / 2,
        maxTokens,
        10_000,
        Urgency.NORMAL,
        Reader.READS,
        "");
  }

  /** Application calls with a business key each. */
  public static LoadClass application(String apiKey, String service, double requestsPerSecond) {
    return new LoadClass(
        service,
        apiKey,
        new ServiceName(service),
        Kind.APPLICATION,
        requestsPerSecond,
        8,
        0,
        0,
        10_000,
        Urgency.NORMAL,
        Reader.READS,
        "business");
  }

  /** The same by another name. */
  public LoadClass named(String other) {
    return new LoadClass(
        other,
        apiKey,
        service,
        kind,
        requestsPerSecond,
        promptWords,
        sharedPrefixWords,
        maxTokens,
        deadlineMillis,
        urgency,
        reader,
        keyPrefix);
  }

  /** The same of another kind. */
  public LoadClass withKind(Kind other) {
    return new LoadClass(
        name,
        apiKey,
        service,
        other,
        requestsPerSecond,
        promptWords,
        sharedPrefixWords,
        maxTokens,
        deadlineMillis,
        urgency,
        reader,
        keyPrefix);
  }

  /** The same with another urgency. */
  public LoadClass withUrgency(Urgency other) {
    return new LoadClass(
        name,
        apiKey,
        service,
        kind,
        requestsPerSecond,
        promptWords,
        sharedPrefixWords,
        maxTokens,
        deadlineMillis,
        other,
        reader,
        keyPrefix);
  }

  /** The same with another reader. */
  public LoadClass withReader(Reader other) {
    return new LoadClass(
        name,
        apiKey,
        service,
        kind,
        requestsPerSecond,
        promptWords,
        sharedPrefixWords,
        maxTokens,
        deadlineMillis,
        urgency,
        other,
        keyPrefix);
  }

  /** The same with idempotency keys of a prefix. */
  public LoadClass withKeyPrefix(String other) {
    return new LoadClass(
        name,
        apiKey,
        service,
        kind,
        requestsPerSecond,
        promptWords,
        sharedPrefixWords,
        maxTokens,
        deadlineMillis,
        urgency,
        reader,
        other);
  }
}
