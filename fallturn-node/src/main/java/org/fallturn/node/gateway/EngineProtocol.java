package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Port to the headers, paths and bodies that engines use. Implementations are thread-safe and only
 * translate: they make no decisions.
 */
public interface EngineProtocol {

  /** Builds the headers of a request to an engine from the caller's headers and the call. */
  HttpFields.Mutable requestHeaders(HttpFields callerHeaders, EngineCall call);

  /**
   * Sets how much time the caller has left, in the headers of a request that is about to be sent.
   */
  void setTimeLeft(HttpFields.Mutable requestHeaders, Duration timeLeft);

  /** Parses what {@link #setTimeLeft} set; empty when it is missing or no number. */
  Optional<Duration> timeLeft(HttpFields requestHeaders);

  /** Parses the head of an answer. */
  EngineAnswerHead readHead(int status, HttpFields headers);

  /** Parses what an engine says about itself in the headers of any of its answers. */
  EngineNotice readNotice(int status, HttpFields headers);

  /** Names of headers in an engine's answer that this protocol does not know. */
  List<String> unknownHeaders(HttpFields headers);

  /** Selects the headers of an engine's answer that are relayed to the caller. */
  HttpFields.Mutable answerHeaders(HttpFields engineHeaders);

  /**
   * Parses the answer of an engine that has prefilled a prompt.
   *
   * @return the handle under which the engine holds the KV cache
   */
  String readPrefillHandle(byte[] body) throws MalformedMessageException;

  /** Path of the call (method GET) that lists the prompt parts that an engine caches. */
  String cacheListPath();

  /** Parses the answer to the call at {@link #cacheListPath}. */
  List<PromptPart> readCacheList(byte[] body) throws MalformedMessageException;

  /** Path of the call (method GET) that asks an engine for its report. */
  String reportPath();

  /** Parses the answer to the call at {@link #reportPath}. */
  EngineReport readReport(byte[] body) throws MalformedMessageException;

  /** Path of the call (method POST) that gives an engine an order. */
  String orderPath();

  /** Headers that make any other engine at the address refuse the call. */
  HttpFields addresseeHeaders(ServingEngine engine);

  /** Body of the call at {@link #orderPath}. */
  byte[] orderBody(StageOrder order);

  /** Path of the call (method DELETE) that frees a KV cache that nobody will fetch. */
  String freeHandlePath(String handle);
}
