package org.fallturn.node.json;

/** A message could not be read as the type it should be; the message names the place. */
public class MalformedMessageException extends Exception {

  /** Says what was expected and what was found. */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
