package org.fallturn.node.gateway;

import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.json.MalformedMessageException;

/** Port: what is spoken with engines. Thread-safe; decides nothing. */
public interface EngineProtocol {

  /** Headers of a request to an engine, made from the caller's and the attempt. */
  HttpFields.Mutable requestHeaders(HttpFields callerHeaders, EngineCall call);

  /** Reads the head of an answer. */
  EngineAnswerHead readHead(int status, HttpFields headers);

  /** Reads what an engine says of itself in the head of any of its answers. */
  EngineNotice readNotice(int status, HttpFields headers);

  /** Names of headers in an engine's answer that nobody here has decided about. */
  List<String> unknownHeaders(HttpFields headers);

  /** Headers of an engine's answer that are passed on to the caller. */
  HttpFields.Mutable answerHeaders(HttpFields engineHeaders);

  /**
   * Reads the answer of an engine that has read a prompt.
   *
   * @return the handle under which the KV cache waits
   */
  String readPrefillHandle(byte[] body) throws MalformedMessageException;

  /** Path of the call (method GET) by which an engine lists the prompt parts it keeps. */
  String cacheListPath();

  /** Reads the answer to that call. */
  List<PromptPart> readCacheList(byte[] body) throws MalformedMessageException;

  /** Path of the call (method GET) by which an engine reports on itself. */
  String reportPath();

  /** Reads the answer to that call. */
  EngineReport readReport(byte[] body) throws MalformedMessageException;

  /** Path of the call (method POST) that gives an engine an order. */
  String orderPath();

  /** Headers of a call that only the engine that is meant may take. */
  HttpFields addresseeHeaders(ServingEngine engine);

  /** Body of an order. */
  byte[] orderBody(StageOrder order);

  /** Path of the call (method DELETE) that frees a KV cache that nobody will fetch. */
  String freeHandlePath(String handle);
}
