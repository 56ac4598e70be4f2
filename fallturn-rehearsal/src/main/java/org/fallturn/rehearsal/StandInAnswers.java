package org.fallturn.rehearsal;

import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Ways for a stand-in not to answer. */
public final class StandInAnswers {

  private StandInAnswers() {}

  /** Cuts the connection, so that the caller gets no answer or a broken one. */
  public static void cut(Request request, Response response, Callback callback) {
    request.getConnectionMetaData().getConnection().getEndPoint().close();
    callback.failed(new EofException("connection cut on command"));
  }
}
