package test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and ownIP, and its private
// key.
func writeCertificate(t *testing.T, serial int64, cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), net.ParseIP(ownIP)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	privateDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	for path, block := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "PRIVATE KEY", Bytes: privateDER}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// serialOf returns the serial number of the certificate that the server at an
// address presents, or 0 if the connection fails.
func serialOf(address string) int64 {
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		return 0
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// Controls form a group over TLS.
func TestTLSBetweenControls(t *testing.T) {
	folder := t.TempDir()
	cert, key := filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	writeCertificate(t, 1, cert, key)
	memberKey, operatorKey := rand.Text(), rand.Text()
	addresses := freeAddresses(t, 3)
	var peers []string
	for i, a := range addresses {
		peers = append(peers, fmt.Sprintf("control-%d=%s", i+1, a))
	}
	for i, a := range addresses {
		startProcess(t, "control", "--id", fmt.Sprintf("control-%d", i+1), "--listen", a, "--peers", strings.Join(peers, ","),
			"--data", t.TempDir(), "--member-key", memberKey, "--operator-key", operatorKey,
			"--tls-cert", cert, "--tls-key", key, "--tls-ca", cert)
	}
	waitFor(t, "three votes", func() bool {
		code, out := runProgram(t, "control", "list", "--json", "--tls-ca", cert, "--control", addresses[0], "--operator-key", operatorKey)
		return code == 0 && strings.Count(out, `"voter": true`) == len(addresses)
	})
}

// With TLS an entry gets its lease and an operator who trusts the certificate
// authority gets an answer. Operators without TLS or with another authority get
// none, and a replaced certificate is loaded without a restart.
func TestTLS(t *testing.T) {
	folder := t.TempDir()
	cert, key := filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	writeCertificate(t, 1, cert, key)
	memberKey, operatorKey := rand.Text(), rand.Text()
	control := startProcess(t, "control", "--id", "control-1", "--data", t.TempDir(), "--member-key", memberKey,
		"--operator-key", operatorKey, "--tls-cert", cert, "--tls-key", key)
	entry := startProcess(t, "entry", "--id", "entry-1", "--region", "central", "--availability-zone", "sanjose",
		"--controls", control.address, "--member-key", memberKey, "--backend-key", rand.Text(),
		"--tls-cert", cert, "--tls-key", key, "--tls-ca", cert)
	status := []string{"status", "--json", "--control", control.address, "--operator-key", operatorKey}
	waitFor(t, "the entry's lease", func() bool {
		code, out := runProgram(t, append(status, "--tls-ca", cert)...)
		return code == 0 && strings.Contains(out, "entry-1")
	})
	if code, out := runProgram(t, status...); code == 0 {
		t.Errorf("an operator without TLS was let in:\n%s", out)
	}
	foreign, foreignKey := filepath.Join(folder, "foreign.pem"), filepath.Join(folder, "foreign-key.pem")
	writeCertificate(t, 3, foreign, foreignKey)
	if code, out := runProgram(t, append(status, "--tls-ca", foreign)...); code == 0 {
		t.Errorf("an operator accepted a certificate of an untrusted authority:\n%s", out)
	}
	writeCertificate(t, 2, cert, key)
	for _, address := range []string{control.address, entry.address} {
		waitFor(t, "the new certificate", func() bool { return serialOf(address) == 2 })
	}
	if code, out := runProgram(t, "control", "--tls-cert", cert, "--tls-ca", key); code != 2 || !strings.Contains(out, "--tls-cert, --tls-key: one without") || !strings.Contains(out, "--tls-ca: ") {
		t.Errorf("bad settings: exit code %d\n%s", code, out)
	}
}
