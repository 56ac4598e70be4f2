package org.fallturn.node.gateway;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Set;

/** A channel that runs a check before each read, and otherwise does what another one does. */
final class FailingChannel extends SocketChannel {

  private final SocketChannel channel;
  private final Runnable beforeRead;

  /** Closes the other channel when it is closed. */
  FailingChannel(SocketChannel channel, Runnable beforeRead) {
    super(channel.provider());
    this.channel = channel;
    this.beforeRead = beforeRead;
  }

  @Override
  public int read(ByteBuffer buffer) throws IOException {
    beforeRead.run();
    return channel.read(buffer);
  }

  @Override
  public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
    beforeRead.run();
    return channel.read(buffers, offset, length);
  }

  @Override
  public int write(ByteBuffer buffer) throws IOException {
    return channel.write(buffer);
  }

  @Override
  public long write(ByteBuffer[] buffers, int offset, int length) throws IOException {
    return channel.write(buffers, offset, length);
  }

  @Override
  public SocketChannel bind(SocketAddress local) throws IOException {
    channel.bind(local);
    return this;
  }

  @Override
  public <T> SocketChannel setOption(SocketOption<T> name, T value) throws IOException {
    channel.setOption(name, value);
    return this;
  }

  @Override
  public <T> T getOption(SocketOption<T> name) throws IOException {
    return channel.getOption(name);
  }

  @Override
  public Set<SocketOption<?>> supportedOptions() {
    return channel.supportedOptions();
  }

  @Override
  public SocketChannel shutdownInput() throws IOException {
    channel.shutdownInput();
    return this;
  }

  @Override
  public SocketChannel shutdownOutput() throws IOException {
    channel.shutdownOutput();
    return this;
  }

  @Override
  public Socket socket() {
    return channel.socket();
  }

  @Override
  public boolean isConnected() {
    return channel.isConnected();
  }

  @Override
  public boolean isConnectionPending() {
    return channel.isConnectionPending();
  }

  @Override
  public boolean connect(SocketAddress remote) throws IOException {
    return channel.connect(remote);
  }

  @Override
  public boolean finishConnect() throws IOException {
    return channel.finishConnect();
  }

  @Override
  public SocketAddress getRemoteAddress() throws IOException {
    return channel.getRemoteAddress();
  }

  @Override
  public SocketAddress getLocalAddress() throws IOException {
    return channel.getLocalAddress();
  }

  @Override
  protected void implCloseSelectableChannel() throws IOException {
    channel.close();
  }

  @Override
  protected void implConfigureBlocking(boolean block) throws IOException {
    channel.configureBlocking(block);
  }
}
