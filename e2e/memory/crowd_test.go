package memory

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/standin"
)

const (
	// sendTime bounds the time in which a client sends. A process that does not read its bytes ends the client's part of
	// the test then.
	sendTime = 8 * time.Second
	// shortfall is how many bytes before its end most bodies stop.
	shortfall = 1 << 10
	// farOver is the factor on the limit of bodies that are far over it.
	farOver = 16
	// largeChunk is the size of large chunks.
	largeChunk = 64 << 10
	// announcedOver is the announced length far over the limit.
	announcedOver = 3 << 30
	// headBytes is the part of a head that is sent, within the header limit of 16,384 bytes.
	headBytes = 12 << 10
)

// client sends on a connection to a target, until an error at most. The connection stays open.
type client func(c net.Conn, to target) error

func write(c net.Conn, text string) error {
	_, err := c.Write([]byte(text))
	return err
}

// sendBytes sends n bytes of a body.
func sendBytes(c net.Conn, n int64) error {
	block := make([]byte, largeChunk)
	for n > 0 {
		part := block[:min(n, largeChunk)]
		if _, err := c.Write(part); err != nil {
			return err
		}
		n -= int64(len(part))
	}
	return nil
}

// sendChunks sends n bytes of a body in chunks of a size. Chunks are sent in blocks of many, so that the number of calls
// does not bound the clients.
func sendChunks(c net.Conn, n, size int64) error {
	one := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", int(size)))
	perBlock := max(1, largeChunk/int64(len(one)))
	block := strings.Repeat(one, int(perBlock))
	for n > 0 {
		if err := write(c, block); err != nil {
			return err
		}
		n -= perBlock * size
	}
	return nil
}

func largeChunks(c net.Conn, to target) error {
	if err := write(c, to.bodyHead+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	return sendChunks(c, to.maxBody-2*largeChunk, largeChunk)
}

// oneByteChunks stops at half of the limit, since each byte of the body takes six on the wire.
func oneByteChunks(c net.Conn, to target) error {
	if err := write(c, to.bodyHead+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	return sendChunks(c, to.maxBody/2+shortfall, 1)
}

func farOverSent(c net.Conn, to target) error {
	if err := write(c, to.bodyHead+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	return sendChunks(c, farOver*to.maxBody, largeChunk)
}

func farOverAnnounced(c net.Conn, to target) error {
	if err := write(c, to.bodyHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(announcedOver))); err != nil {
		return err
	}
	return sendBytes(c, to.maxBody-shortfall)
}

func stopsShort(c net.Conn, to target) error {
	if err := write(c, to.bodyHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", to.maxBody)); err != nil {
		return err
	}
	return sendBytes(c, to.maxBody-shortfall)
}

func headStopsShort(c net.Conn, to target) error {
	return write(c, to.bodyHead+"X-Padding: "+strings.Repeat("x", headBytes))
}

func silent(net.Conn, target) error { return nil }

// heldAnswer asks for an answer that stops short of its end.
func heldAnswer(c net.Conn, _ target) error {
	return write(c, "GET /look/crowd"+heldPath+" HTTP/1.1\r\nHost: "+standin.PlatformHost+"\r\nAuthorization: Bearer "+standin.PlatformOpenKey+"\r\n\r\n")
}

// bodyClients are the kinds of clients that send bodies.
var bodyClients = []client{largeChunks, oneByteChunks, farOverSent, farOverAnnounced, stopsShort}

func alternate(kinds []client) func(i int) client {
	return func(i int) client { return kinds[i%len(kinds)] }
}

func all(kind client) func(int) client { return func(int) client { return kind } }

// sendCrowd opens n connections to a target, lets a client send on each, and returns when all have sent. The connections stay
// open until the end of the test.
func sendCrowd(t testing.TB, to target, n int, kindOf func(i int) client) {
	end := time.Now().Add(sendTime)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", to.address, sendTime)
			if err != nil {
				return // refused
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetWriteDeadline(end)
			_ = kindOf(i)(c, to) // the process may refuse the client at any point
		})
	}
	wg.Wait()
}

// sendPeerMessages opens n connections as a peer, sends most of a message on each, and returns when all have sent.
func sendPeerMessages(t testing.TB, to target, n int) {
	ctx, cancel := context.WithTimeout(t.Context(), sendTime)
	defer cancel()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			c, _, err := websocket.Dial(ctx, "ws://"+to.address+peer.Path, nil)
			if err != nil {
				return // refused
			}
			t.Cleanup(func() { _ = c.CloseNow() })
			w, err := c.Writer(ctx, websocket.MessageBinary)
			if err != nil {
				return
			}
			block := make([]byte, largeChunk)
			for range peerMessage/largeChunk - 1 {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
}

// peerMessage is the size of the largest message that peers accept.
const peerMessage = 2 << 20
